#pragma once

/// @file
/// Server instances that have said in a response that they are leaving.

#include <deque>
#include <map>
#include <optional>

#include "shedlever/identifiers.h"
#include "shedlever/time.h"

namespace shedlever {

/// An instance never takes this back. A later instance with the same server id is another instance.
class LeavingServers {
 public:
  /// @return false if this was known already.
  bool mark(const InstanceId& instance, TimePoint now);

  /// @return when the instance first said so; std::nullopt if it has not.
  std::optional<TimePoint> since(const InstanceId& instance) const;

  bool contains(const InstanceId& instance) const { return since_.contains(instance); }

 private:
  std::map<InstanceId, TimePoint> since_;
  /// Oldest first.
  std::deque<InstanceId> order_;
};

}  // namespace shedlever
