#include "source/lab/sim/ownership_checks.h"

#include <algorithm>

#include "source/core/router/ownership/owner_table_delta.h"

namespace shedlever::sim {

Key OwnershipChecks::sampleKey(std::size_t index) {
  constexpr std::size_t kStep = kKeyCount / kSampleCount;
  return static_cast<Key>(index * kStep + index % kStep);
}

void OwnershipChecks::onAcquired(const SimulatedServer& server, Key first, Key last, FenceToken token,
                                 const Servers& running) {
  for (std::size_t i = 0; i < kSampleCount; ++i) {
    const Key key = sampleKey(i);
    if (key < first || last < key) {
      continue;
    }
    for (const SimulatedServer* other : running) {
      if (other != &server && other->acquired_tokens[key] >= token) {
        violations_.push_back("key " + std::to_string(key) + ": token " + std::to_string(token) +
                              " is not above that of another server");
      }
    }
  }
}

void OwnershipChecks::check(const Servers& running, TimePoint now) {
  for (std::size_t i = 0; i < kSampleCount; ++i) {
    const Key key = sampleKey(i);
    const auto holders = std::count_if(running.begin(), running.end(),
                                       [key](const SimulatedServer* server) { return server->occupies(key); });
    if (holders > 1) {
      violations_.push_back("key " + std::to_string(key) + " is held by " + std::to_string(holders) + " servers at " +
                            std::to_string(now.time_since_epoch().count()));
    }
  }
}

void OwnershipChecks::onTransfer(const OwnerTable& earlier, const OwnerTableDeltaFrame& delta,
                                 const OwnerTable& written) {
  const auto applied = applyDelta(earlier, delta);
  if (!applied || applied->encode() != written.encode()) {
    violations_.push_back("the difference between the tables " + toString(delta.base) + " and " +
                          toString(delta.revision) + " does not yield the written table");
  }
}

}  // namespace shedlever::sim
