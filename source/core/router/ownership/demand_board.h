#pragma once

/// @file
/// What is asked of each server of a service, as their processes have told.

#include <map>
#include <vector>

#include "shedlever/router_frames.h"
#include "shedlever/time.h"

namespace shedlever {

class DemandBoard {
 public:
  /// A server's process tells, or another process tells of it.
  void note(const ServerDemand& demand, TimePoint now);

  /// @return all that is not too old, with its age now.
  std::vector<ServerDemand> all(TimePoint now) const;

 private:
  struct Known {
    ServerLoad load;
    TimePoint at{};
  };

  std::map<NodeName, Known> servers_;
};

}  // namespace shedlever
