#include "source/lab/sim/ownership_checks.h"

#include <algorithm>

#include "source/core/router/ownership/owner_table_delta.h"

namespace shedlever::sim {

Key OwnershipChecks::sampleKey(std::size_t index) {
  constexpr std::size_t kStep = kKeyCount / kSampleCount;
  return static_cast<Key>(index * kStep + index % kStep);
}

void OwnershipChecks::onAcquired(const SimulatedServer& server, Key first, Key last, FenceToken token) {
  auto& own_tokens = acquired_tokens_[server.instance];
  for (std::size_t i = 0; i < kSampleCount; ++i) {
    const Key key = sampleKey(i);
    if (key < first || last < key) {
      continue;
    }
    for (const auto& [instance, tokens] : acquired_tokens_) {
      if (instance != server.instance && tokens[i] >= token) {
        violations_.push_back("key " + std::to_string(key) + ": token " + std::to_string(token) + " of " +
                              server.instance.value + " is not above that of " + instance.value);
      }
    }
    own_tokens[i] = std::max(own_tokens[i], token);
  }
}

void OwnershipChecks::check(const Servers& running, TimePoint now) {
  for (std::size_t i = 0; i < kSampleCount; ++i) {
    const Key key = sampleKey(i);
    std::string holders;
    std::size_t count = 0;
    for (const SimulatedServer* server : running) {
      if (server->occupies(key)) {
        holders += " " + server->instance.value;
        ++count;
      }
    }
    if (count > 1) {
      violations_.push_back("key " + std::to_string(key) + " is held by " + std::to_string(count) + " servers at " +
                            std::to_string(now.time_since_epoch().count()) + " us:" + holders);
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
