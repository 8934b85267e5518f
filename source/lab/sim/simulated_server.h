#pragma once

/// @file
/// Simulated server that receives keys by commands or in heartbeat acknowledgements.

#include <cstdint>
#include <string>
#include <vector>

#include "shedlever/server_commands.h"
#include "source/lab/sim/assigned_keys.h"
#include "source/lab/sim/virtual_store.h"

namespace shedlever::sim {

/// Holds keys 2% longer than granted, as a server with a slow clock does.
class SimulatedServer {
 public:
  SimulatedServer(VirtualTime& time, InstanceId instance);

  // Commands. A server that receives its keys by heartbeat gets none.

  /// @param late the command is applied long after it was sent and only updates the highest tokens, because its process
  ///   may no longer own the keys.
  /// @return false if the server has received a higher token for one of the keys.
  bool grant(const GrantCommand& command, bool late);
  /// @param work how long requests for the keys still run.
  /// @return the handover data, which the server sends once the requests have ended.
  std::string release(const ReleaseCommand& command, Duration work);

  /// Drops all keys until the next grant or assignment.
  void dropAllKeys();
  /// @return whether the server starts requests for the key.
  bool holds(Key key) const;
  /// @return whether the server holds the key or, before the end of the hold, still processes requests for it.
  bool occupies(Key key) const;

  InstanceId instance;
  /// Whether a report of the server has reached a process of its node.
  bool has_reported = false;
  /// Sequence number of its latest heartbeat.
  std::uint64_t last_sequence = 0;
  /// Keys assigned in heartbeat acknowledgements.
  AssignedKeys assigned;

 private:
  VirtualTime& time_;
  std::vector<FenceToken> max_tokens_;
  /// End of the hold of each key by grants that were not late.
  std::vector<TimePoint> until_;
  /// End of the requests for each key that a command has released, at the latest the end of the hold.
  std::vector<TimePoint> works_until_;
};

}  // namespace shedlever::sim
