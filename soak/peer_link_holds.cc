#include "soak/peer_link_holds.h"

#include <utility>

namespace shedlever::soak {

namespace {

constexpr std::uint64_t kMinHoldMs = 1000;
constexpr std::uint64_t kMaxHoldMs = 1900;
constexpr std::uint64_t kMaxHoldsInSeries = 3;
/// Time between the holds of a series, in which held requests arrive and are answered.
constexpr std::uint64_t kHoldGapMs = 800;
constexpr std::uint64_t kMinSeriesIntervalMs = 500;
constexpr std::uint64_t kMaxSeriesIntervalMs = 2000;

}  // namespace

PeerLinkHolds::PeerLinkHolds(EventLoop& loop, std::uint64_t seed, LocalDeployment& deployment, Callbacks callbacks)
    : loop_(loop), random_(seed), deployment_(deployment), callbacks_(std::move(callbacks)) {}

void PeerLinkHolds::runAfter(std::uint64_t delay_ms, std::function<void()> step) {
  loop_.runAfter(std::chrono::milliseconds(delay_ms), [alive = alive_, step = std::move(step)] {
    if (*alive) {
      step();
    }
  });
}

LocalNode& PeerLinkHolds::randomNode() { return *deployment_.nodes()[random_() % deployment_.nodes().size()]; }

void PeerLinkHolds::startSeries() {
  if (!stopped_) {
    hold(randomNode(), randomBetween(1, kMaxHoldsInSeries));
  }
}

void PeerLinkHolds::hold(LocalNode& node, std::uint64_t remaining_holds) {
  if (stopped_) {
    return;
  }
  ++count_;
  const std::uint64_t hold_ms = randomBetween(kMinHoldMs, kMaxHoldMs);
  callbacks_.log_fault(node.name + ": peer link held for " + std::to_string(hold_ms) + " ms");
  node.peer_link->setFault(LinkFault::Blocked);
  runAfter(randomBetween(0, hold_ms), [this, &node] { stopRouterDuringHold(node); });
  runAfter(hold_ms, [this, &node, remaining_holds] { release(node, remaining_holds - 1); });
}

void PeerLinkHolds::release(LocalNode& node, std::uint64_t remaining_holds) {
  node.peer_link->setFault(LinkFault::None);
  if (remaining_holds > 0) {
    runAfter(kHoldGapMs, [this, &node, remaining_holds] { hold(node, remaining_holds); });
    return;
  }
  runAfter(randomBetween(kMinSeriesIntervalMs, kMaxSeriesIntervalMs), [this] { startSeries(); });
}

void PeerLinkHolds::stopRouterDuringHold(LocalNode& held) {
  if (!stopped_) {
    callbacks_.stop_router(randomBetween(0, 1) == 0 ? held : randomNode());
  }
}

}  // namespace shedlever::soak
