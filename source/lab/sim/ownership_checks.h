#pragma once

/// @file
/// What must hold of the servers that share the keys of one service: no key has two owners, and tokens rise.

#include <string>
#include <vector>

#include "source/lab/sim/simulated_server.h"

namespace shedlever::sim {

/// Looks at a sample of the keys: all of them would be 512 times as many at each step.
class OwnershipChecks {
 public:
  using Servers = std::vector<const SimulatedServer*>;

  static constexpr std::size_t kSampleCount = 128;
  static Key sampleKey(std::size_t index);

  /// The server has taken keys, at once and not late.
  /// @param running all servers that run.
  void onAcquired(const SimulatedServer& server, Key first, Key last, FenceToken token, const Servers& running);

  /// Something has happened. @param running all servers that run.
  void check(const Servers& running, TimePoint now);

  /// Everything that was broken, in words; empty if nothing was.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  std::vector<std::string> violations_;
};

}  // namespace shedlever::sim
