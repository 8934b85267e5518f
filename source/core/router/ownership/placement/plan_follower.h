#pragma once

/// @file
/// An owner's view of the plans that it receives: which of them it follows.

#include <functional>
#include <optional>

#include "shedlever/placement_frames.h"
#include "shedlever/time.h"
#include "source/core/router/ownership/placement/placement_event.h"

namespace shedlever {

/// Follows one planner at a time. Two nodes plan if their views of the reachable nodes differ; then the plans of the
/// one with the lower name count for as long as they arrive. A missed or dropped plan only delays moves.
class PlanFollower {
 public:
  using EventCallback = std::function<void(const PlacementEvent&)>;

  void setEventCallback(EventCallback on_event) { on_event_ = std::move(on_event); }

  /// @param self instance of this node's server.
  /// @param silence time after which a planner is no longer followed.
  void onPlan(const NodeName& sender, const PlacementPlanFrame& plan, const InstanceId& self, Duration silence,
              TimePoint now);

  /// @return whether the planner was heard within the last `silence`.
  bool hearsPlanner(Duration silence, TimePoint now) const;

  /// This owner's moves have ended; plans made before `visible_at` may not take them into account.
  void onMovesDone(TimePoint visible_at) { visible_at_ = visible_at; }

  /// @return the flows to be carried out now, once; none if there are no new ones.
  std::optional<PlacementPlanFrame> takeFlows(TimePoint now);

  /// Reports what became of a plan.
  void report(PlacementStep step, const PlacementPlanFrame& plan, std::size_t moves) const;

 private:
  struct ReceivedPlan {
    PlacementPlanFrame plan;
    TimePoint at{};
  };

  EventCallback on_event_ = [](const PlacementEvent&) {};
  /// The planner that is followed; empty before the first plan.
  NodeName planner_;
  TimePoint heard_at_{};
  /// Number of the planner's last plan with flows.
  std::uint64_t last_plan_ = 0;
  std::optional<ReceivedPlan> received_;
  /// Plans received before this time may not take this owner's last moves into account.
  TimePoint visible_at_{};
};

}  // namespace shedlever
