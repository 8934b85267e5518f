#pragma once

/// @file
/// Averages the load of each server since it last changed.

#include <map>
#include <set>

#include "shedlever/identifiers.h"
#include "shedlever/time.h"
#include "source/core/router/ownership/balance_planner.h"

namespace shedlever {

/// A load averaged over some time.
struct AveragedLoad {
  OfferedLoad load;
  /// Time over which requests were counted, in seconds.
  double seconds = 0;
};

/// The averaged load of each server.
class LoadHistory {
 public:
  /// Adds a reported load. One that differs from the average by more than chance explains starts a new average.
  /// @return the average with this load.
  const AveragedLoad& add(const InstanceId& server, const OfferedLoad& load, TimePoint now);

  /// The next load of the server starts a new average.
  void forget(const InstanceId& server) { entries_.erase(server); }
  /// Forgets all servers but these.
  void keepOnly(const std::set<InstanceId>& servers);
  void clear() { entries_.clear(); }

 private:
  struct Entry {
    AveragedLoad averaged;
    /// When the first load of the average was added.
    TimePoint since{};
    /// When the newest load was added.
    TimePoint last{};
  };

  std::map<InstanceId, Entry> entries_;
};

}  // namespace shedlever
