#include "source/lab/sim/simulated_server.h"

#include <algorithm>
#include <utility>

namespace shedlever::sim {

namespace {

constexpr double kClockDrift = 1.02;
/// Work that runs on keys when the server is to let go of them.
constexpr Duration kWorkDuration = std::chrono::milliseconds(220);

}  // namespace

SimulatedServer::SimulatedServer(VirtualTime& time, InstanceId its_instance)
    : instance(std::move(its_instance)),
      assigned(time, [&time](const KeyRange&, TimePoint let_go) { return time.now() < let_go + kWorkDuration; }),
      acquired_tokens(kKeyCount, 0),
      time_(time),
      max_tokens_(kKeyCount, 0),
      until_(kKeyCount, TimePoint{}) {}

bool SimulatedServer::grant(const GrantCommand& order, bool late) {
  for (std::uint32_t key = order.first; key <= order.last; ++key) {
    if (max_tokens_[key] > order.token) {
      return false;
    }
  }
  const Duration hold = std::chrono::duration_cast<Duration>(order.hold_duration * kClockDrift);
  for (std::uint32_t key = order.first; key <= order.last; ++key) {
    max_tokens_[key] = order.token;
    if (!late) {
      until_[key] = std::max(until_[key], time_.now() + hold);
      acquired_tokens[key] = std::max(acquired_tokens[key], order.token);
    }
  }
  return true;
}

std::string SimulatedServer::release(const ReleaseCommand& order) {
  for (std::uint32_t key = order.first; key <= order.last; ++key) {
    max_tokens_[key] = std::max(max_tokens_[key], order.token);
    until_[key] = {};
  }
  return "handover-" + std::to_string(order.token);
}

void SimulatedServer::dropAllKeys() {
  std::fill(until_.begin(), until_.end(), TimePoint{});
  assigned.dropAllKeys();
}

bool SimulatedServer::holds(Key key) const { return until_[key] > time_.now() || assigned.tokenOf(key) != 0; }

}  // namespace shedlever::sim
