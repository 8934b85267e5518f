#include "soak/server_conditions.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <utility>

namespace shedlever::soak {

using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kMinIntervalMs = 400;
constexpr std::uint64_t kMaxIntervalMs = 2000;
constexpr std::uint64_t kMinLimitDurationMs = 1000;
constexpr std::uint64_t kMaxLimitDurationMs = 8000;
/// One in this many changes is a server that leaves.
constexpr std::uint64_t kLeavingOdds = 4;
/// How long a leaving server runs on; longer than others may send it requests.
constexpr Duration kLeavingDuration = milliseconds(4500);
/// What servers name, among it text that is no limit.
constexpr std::array<const char*, 8> kLimits = {"0", "0.5", "2.5", "4", "9.75", "1e300", "-3", "many"};

}  // namespace

ServerConditions::ServerConditions(EventLoop& loop, std::uint64_t seed, LocalDeployment& deployment,
                                   Callbacks callbacks)
    : loop_(loop), random_(seed), deployment_(deployment), callbacks_(std::move(callbacks)) {}

void ServerConditions::runAfter(Duration delay, std::function<void()> step) {
  loop_.runAfter(delay, [alive = alive_, step = std::move(step)] {
    if (*alive) {
      step();
    }
  });
}

void ServerConditions::scheduleNext() {
  runAfter(milliseconds(kMinIntervalMs + randomBelow(kMaxIntervalMs - kMinIntervalMs)), [this] {
    if (!stopped_) {
      changeRandomServer();
      scheduleNext();
    }
  });
}

void ServerConditions::changeRandomServer() {
  LocalNode& node = *deployment_.nodes()[randomBelow(deployment_.nodes().size())];
  if (!node.server_process) {
    return;
  }
  if (randomBelow(kLeavingOdds) == 0) {
    leave(node);
  } else {
    nameLimit(node);
  }
}

void ServerConditions::nameLimit(LocalNode& node) {
  const std::string limit = kLimits[randomBelow(kLimits.size())];
  callbacks_.log_fault(node.name + ": server names limit " + limit);
  callbacks_.set_condition(node, R"({"limit":")" + limit + R"("})");
  limited_.insert(node.name);
  const milliseconds duration(kMinLimitDurationMs + randomBelow(kMaxLimitDurationMs - kMinLimitDurationMs));
  runAfter(duration, [this, name = node.name] { endLimit(name); });
}

void ServerConditions::endLimit(const std::string& node_name) {
  const auto& nodes = deployment_.nodes();
  const auto found =
      std::find_if(nodes.begin(), nodes.end(), [&](const auto& node) { return node->name == node_name; });
  limited_.erase(node_name);
  if (found != nodes.end()) {
    callbacks_.set_condition(**found, R"({"limit":""})");
  }
}

void ServerConditions::leave(LocalNode& node) {
  callbacks_.log_fault(node.name + ": server says that it is leaving");
  callbacks_.set_condition(node, R"({"leaving":true})");
  runAfter(kLeavingDuration, [this, &node, leaving = node.server_process->pid()] {
    // Spares a successor at the same node.
    if (node.server_process && node.server_process->pid() == leaving) {
      deployment_.killServer(node);
    }
  });
}

void ServerConditions::stop() {
  stopped_ = true;
  for (const std::string& name : std::set<std::string>(limited_)) {
    endLimit(name);
  }
}

}  // namespace shedlever::soak
