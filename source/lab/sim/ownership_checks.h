#pragma once

/// @file
/// Invariants of the servers that share the keys of one service: no key has two owners, and fencing tokens increase.

#include <array>
#include <map>
#include <string>
#include <vector>

#include "source/core/router/ownership/owner_table.h"
#include "source/lab/sim/simulated_server.h"

namespace shedlever::sim {

/// Checks a sample of the keys, because checking every key after each event would be too slow.
class OwnershipChecks {
 public:
  using Servers = std::vector<const SimulatedServer*>;

  static constexpr std::size_t kSampleCount = 128;
  static Key sampleKey(std::size_t index);

  /// Checks that the token of keys that the server has just acquired is above those of all other servers, running or
  /// ended. Another instance at the same node is another server.
  void onAcquired(const SimulatedServer& server, Key first, Key last, FenceToken token);

  /// Checks that no sampled key has two owners.
  /// @param running all running servers.
  void check(const Servers& running, TimePoint now);

  /// Checks that the difference that a process sends after a write yields the written table.
  /// @param earlier table before the write.
  void onTransfer(const OwnerTable& earlier, const OwnerTableDeltaFrame& delta, const OwnerTable& written);

  /// @return one message for each violation found so far.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  /// Highest token with which each instance acquired each sampled key.
  std::map<InstanceId, std::array<FenceToken, kSampleCount>> acquired_tokens_;
  std::vector<std::string> violations_;
};

}  // namespace shedlever::sim
