#include "source/core/router/ownership/placement/placement_event.h"

namespace shedlever {

const char* toString(PlacementStep step) {
  switch (step) {
    case PlacementStep::Planned:
      return "planned";
    case PlacementStep::Given:
      return "given";
    case PlacementStep::OtherPlanner:
      return "dropped-other-planner";
    case PlacementStep::Older:
      return "dropped-older";
    case PlacementStep::OtherInstance:
      return "dropped-other-instance";
    case PlacementStep::Late:
      return "dropped-late";
    case PlacementStep::LoadNotSettled:
      return "dropped-load-not-settled";
    case PlacementStep::TargetsNotPresent:
      return "dropped-targets-not-present";
    case PlacementStep::NoKeysFit:
      return "dropped-no-keys-fit";
  }
  return "unknown";
}

}  // namespace shedlever
