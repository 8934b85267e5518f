#include "soak/router_upgrades.h"

#include <utility>

namespace shedlever::soak {

namespace {

constexpr std::uint64_t kMinIntervalMs = 500;
constexpr std::uint64_t kMaxIntervalMs = 2500;
/// One in this many replacements is of any node, which may go back to the earlier build.
constexpr std::uint64_t kRandomNodeOdds = 3;

}  // namespace

RouterUpgrades::RouterUpgrades(EventLoop& loop, std::uint64_t seed, LocalDeployment& deployment, Callbacks callbacks)
    : loop_(loop), random_(seed), deployment_(deployment), callbacks_(std::move(callbacks)) {}

void RouterUpgrades::scheduleNext() {
  const std::chrono::milliseconds delay(kMinIntervalMs + random_() % (kMaxIntervalMs - kMinIntervalMs));
  loop_.runAfter(delay, [this, alive = alive_] {
    if (*alive && !stopped_) {
      replaceNext();
      scheduleNext();
    }
  });
}

void RouterUpgrades::replaceNext() {
  const std::size_t nodes = deployment_.nodes().size();
  const bool random_node = random_() % kRandomNodeOdds == 0;
  LocalNode& node = *deployment_.nodes()[random_node ? random_() % nodes : next_node_++ % nodes];
  if (!node.router_process) {
    return;
  }
  node.runs_old_router = !node.runs_old_router;
  ++count_;
  callbacks_.log_fault(node.name + ": router replaced by the " + (node.runs_old_router ? "earlier" : "newest") +
                       " build");
  callbacks_.stop_router(node);
}

}  // namespace shedlever::soak
