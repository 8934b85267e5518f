#include "source/lab/sim/simulated_server.h"

#include <algorithm>
#include <utility>

namespace shedlever::sim {

namespace {

constexpr double kClockDrift = 1.02;
/// How long requests still run after the server has started to release their keys.
constexpr Duration kWorkDuration = std::chrono::milliseconds(220);

}  // namespace

SimulatedServer::SimulatedServer(VirtualTime& time, InstanceId server_instance)
    : instance(std::move(server_instance)),
      assigned(time, [&time](const KeyRange&, TimePoint let_go) { return time.now() < let_go + kWorkDuration; }),
      time_(time),
      max_tokens_(kKeyCount, 0),
      until_(kKeyCount, TimePoint{}),
      works_until_(kKeyCount, TimePoint{}) {}

bool SimulatedServer::grant(const GrantCommand& command, bool late) {
  for (std::uint32_t key = command.first; key <= command.last; ++key) {
    if (max_tokens_[key] > command.token) {
      return false;
    }
  }
  const Duration hold = std::chrono::duration_cast<Duration>(command.hold_duration * kClockDrift);
  for (std::uint32_t key = command.first; key <= command.last; ++key) {
    max_tokens_[key] = command.token;
    if (!late) {
      until_[key] = std::max(until_[key], time_.now() + hold);
    }
  }
  return true;
}

std::string SimulatedServer::release(const ReleaseCommand& command, Duration work) {
  for (std::uint32_t key = command.first; key <= command.last; ++key) {
    max_tokens_[key] = std::max(max_tokens_[key], command.token);
    works_until_[key] = std::max(works_until_[key], std::min(until_[key], time_.now() + work));
    until_[key] = {};
  }
  return "handover-" + std::to_string(command.token);
}

void SimulatedServer::dropAllKeys() {
  std::fill(until_.begin(), until_.end(), TimePoint{});
  std::fill(works_until_.begin(), works_until_.end(), TimePoint{});
  assigned.dropAllKeys();
}

bool SimulatedServer::holds(Key key) const { return until_[key] > time_.now() || assigned.tokenOf(key) != 0; }

bool SimulatedServer::occupies(Key key) const {
  return holds(key) || works_until_[key] > time_.now() || assigned.occupies(key);
}

}  // namespace shedlever::sim
