#pragma once

/// @file
/// A server of the simulation: takes keys by orders, or in the acknowledgements of its heartbeats.

#include <string>
#include <vector>

#include "shedlever/server_commands.h"
#include "source/lab/sim/assigned_keys.h"
#include "source/lab/sim/virtual_store.h"

namespace shedlever::sim {

/// A server that holds keys as it is told. Its clock runs 2% slow.
class SimulatedServer {
 public:
  SimulatedServer(VirtualTime& time, InstanceId instance);

  // ServerCommandChannel; a server that takes its keys by heartbeat gets none.

  /// @param late the order is carried out long after it was sent: it counts for the tokens seen alone. Its process may
  ///   have lost the key by then, and only that could send the server a request for it.
  /// @return false if it has seen a higher token for one of the keys.
  bool grant(const GrantCommand& order, bool late);
  std::string release(const ReleaseCommand& order);

  /// Holds nothing until it is granted anew.
  void dropAllKeys();
  /// @return whether it begins requests for the key, by a grant that was not taken late.
  bool holds(Key key) const;
  /// @return as `holds`, or whether it still works on requests for the key within its lease.
  bool occupies(Key key) const { return holds(key) || assigned.occupies(key); }

  InstanceId instance;
  /// What it was told in acknowledgements.
  AssignedKeys assigned;
  /// Highest token with which it took each key by a grant that was not taken late.
  std::vector<FenceToken> acquired_tokens;

 private:
  VirtualTime& time_;
  std::vector<FenceToken> max_tokens_;
  /// By grants that were not taken late.
  std::vector<TimePoint> until_;
};

}  // namespace shedlever::sim
