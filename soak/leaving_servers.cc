#include "soak/leaving_servers.h"

#include <algorithm>
#include <utility>

namespace shedlever::soak {

namespace {

constexpr std::uint64_t kMinIntervalMs = 300;
constexpr std::uint64_t kMaxIntervalMs = 1500;
/// How long a server works on after it has been told to stop listening.
constexpr std::uint64_t kMinWorkOnMs = 2000;
constexpr std::uint64_t kMaxWorkOnMs = 5000;
constexpr std::uint64_t kMaxListeningMs = 1500;
constexpr std::uint64_t kMinSlowLeaveMs = 5000;
constexpr std::uint64_t kMaxSlowLeaveMs = 9000;
constexpr unsigned kMinFirstReportMs = 800;
constexpr unsigned kMaxFirstReportMs = 1300;
/// A successor starts this long after its predecessor was told to stop listening.
constexpr std::uint64_t kSuccessorDelayMs = 50;
/// Weights of the ways to leave, of 5; killing is left out where it is not allowed.
constexpr std::uint64_t kWays = 5;
constexpr std::uint64_t kWaysWithoutKill = 4;

std::string text(bool value) { return value ? "true" : "false"; }

}  // namespace

LeavingServers::LeavingServers(EventLoop& loop, std::uint64_t seed, LocalDeployment& deployment, bool may_kill,
                               Callbacks callbacks)
    : loop_(loop), random_(seed), deployment_(deployment), may_kill_(may_kill), callbacks_(std::move(callbacks)) {}

void LeavingServers::runAfter(std::uint64_t delay_ms, std::function<void()> step) {
  loop_.runAfter(std::chrono::milliseconds(delay_ms), [alive = alive_, step = std::move(step)] {
    if (*alive) {
      step();
    }
  });
}

void LeavingServers::scheduleNext() {
  runAfter(randomBetween(kMinIntervalMs, kMaxIntervalMs), [this] {
    if (!stopped_) {
      letRandomServerLeave();
      scheduleNext();
    }
  });
}

bool LeavingServers::mayLeave(const LocalNode& node) const {
  if (!node.server_process || node.server_paused || leaving_.contains(node.name)) {
    return false;
  }
  const auto& nodes = deployment_.nodes();
  const auto staying = std::count_if(nodes.begin(), nodes.end(), [&](const auto& other) {
    return other->service == node.service && !leaving_.contains(other->name);
  });
  return staying > 1;
}

unsigned LeavingServers::randomFirstReportMs() {
  return randomBool() ? 0 : static_cast<unsigned>(randomBetween(kMinFirstReportMs, kMaxFirstReportMs));
}

void LeavingServers::letRandomServerLeave() {
  LocalNode& node = *deployment_.nodes()[random_() % deployment_.nodes().size()];
  const std::uint64_t way = random_() % (may_kill_ ? kWays : kWaysWithoutKill);
  if (!mayLeave(node)) {
    return;
  }
  switch (way) {
    case 0:
      stopListening(node, true);
      return;
    case 1:
      stopListening(node, false);
      return;
    case 2:
      leaveSlowly(node);
      return;
    case 3:
      startSuccessorBeside(node);
      return;
    default:
      restartAtOnce(node);
      return;
  }
}

void LeavingServers::tellToLeave(LocalNode& node, const std::string& way, const std::string& body,
                                 std::uint64_t end_ms) {
  ++count_;
  callbacks_.log_fault(node.name + ": server " + way + ": " + body);
  callbacks_.set_condition(node, body);
  leaving_.insert(node.name);
  runAfter(end_ms, [this, name = node.name] { leaving_.erase(name); });
}

void LeavingServers::stopListening(LocalNode& node, bool drains) {
  const std::uint64_t listens_ms = randomBetween(0, kMaxListeningMs);
  const std::uint64_t end_ms = listens_ms + randomBetween(kMinWorkOnMs, kMaxWorkOnMs);
  const std::string body = R"({"drain":)" + text(drains) + R"(,"stop_listening":)" + std::to_string(listens_ms) +
                           R"(,"heartbeats":)" + text(randomBool()) + R"(,"end_after_ms":)" + std::to_string(end_ms) +
                           "}";
  tellToLeave(node, drains ? "drains and stops listening" : "stops listening without a report", body, end_ms);
}

void LeavingServers::leaveSlowly(LocalNode& node) {
  const std::uint64_t end_ms = randomBetween(kMinSlowLeaveMs, kMaxSlowLeaveMs);
  tellToLeave(node, "leaves slowly", R"({"drain":true,"end_after_ms":)" + std::to_string(end_ms) + "}", end_ms);
}

void LeavingServers::restartAtOnce(LocalNode& node) {
  ++count_;
  const auto first_report_ms = static_cast<unsigned>(randomBetween(kMinFirstReportMs, kMaxFirstReportMs));
  callbacks_.log_fault(node.name + ": server SIGKILL, successor at once, first report after " +
                       std::to_string(first_report_ms) + " ms");
  deployment_.restartServerAtOnce(node, first_report_ms);
}

void LeavingServers::startSuccessorBeside(LocalNode& node) {
  const std::uint64_t end_ms = randomBetween(kMinWorkOnMs, kMaxWorkOnMs);
  const std::string body = R"({"drain":)" + text(randomBool()) + R"(,"stop_listening":0,"heartbeats":)" +
                           text(randomBool()) + R"(,"end_after_ms":)" + std::to_string(end_ms) + "}";
  const unsigned first_report_ms = randomFirstReportMs();
  tellToLeave(node, "gets a successor beside it, first report after " + std::to_string(first_report_ms) + " ms", body,
              end_ms);
  runAfter(kSuccessorDelayMs, [this, &node, leaving = node.server_process->pid(), first_report_ms] {
    if (node.server_process && node.server_process->pid() == leaving && !node.server_paused) {
      deployment_.startSuccessor(node, first_report_ms);
    }
  });
}

}  // namespace shedlever::soak
