/// @file
/// The graceful stop of a router process.

#include <utility>

#include "source/router/router_process.h"

namespace shedlever {

namespace {

/// Part of the grace period at its end in which no request is worked on any more.
constexpr Duration kShutdownReserve = std::chrono::milliseconds(900);
/// Part of the grace period that is reserved for the exit of the process, when all responses have been written.
constexpr Duration kExitReserve = std::chrono::milliseconds(400);
/// Time before the clients have left for transferring keys and finishing running requests.
constexpr Duration kLeaveNotice = std::chrono::milliseconds(700);

constexpr Duration kStopCheckInterval = std::chrono::milliseconds(50);

}  // namespace

void RouterProcess::stop(std::function<void()> stopped) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  on_stopped_ = std::move(stopped);
  stop_started_at_ = clock_.now();
  log_.write("router", "stopping", {{"in_flight", std::to_string(gateway_->inFlight())}});
  const TimePoint end = stop_started_at_ + settings_.stop.grace - kShutdownReserve;
  // The gateway forwards requests again that the gate returns now.
  gateway_->setProcessEnd(end);
  gate_.setProcessEnd(end);
  clients_->closeAfterResponses();
  // The server keeps running but is unreachable without this process, so its use continues until shortly before the
  // end.
  const Duration until_leaving =
      server_.instance().empty() ? Duration::zero() : settings_.stop.clients_leave - kLeaveNotice;
  runAfter(until_leaving, [this] { leave(); });
}

void RouterProcess::leave() {
  leaving_ = true;
  gate_.startDraining();
  peer_client_.broadcastStopping();
  peer_server_->broadcastStopping(self_.name);
  if (ownership_manager_) {
    ownership_manager_->startDraining();
    scheduleTick();
  }
  publishRecord();
  pollStopCompletion();
}

bool RouterProcess::keysTransferred() const {
  return !ownership_manager_ || server_.instance().empty() || ownership_manager_->ownsNothing();
}

bool RouterProcess::mayExit(Duration passed) const {
  // A response that is not completely written would be truncated by the exit, and an unwritten end of a claim lost.
  const bool all_written = clients_->busyConnections() == 0 && peer_server_->unsentBytes() == 0 &&
                           !peer_server_->hasUndeliveredReplies() && pacer_.backlogBytes() == 0 &&
                           !claims_.hasUnwrittenEnds();
  if (requests_ended_) {
    return all_written || passed >= settings_.stop.grace - kExitReserve;
  }
  const bool idle = gateway_->inFlight() == 0 && gate_.empty() && keysTransferred() && all_written;
  return idle && passed >= settings_.stop.clients_leave;
}

void RouterProcess::logStop(const char* event) {
  const ServerLoad load = gate_.load();
  log_.write("router", event,
             {{"in_flight", std::to_string(gateway_->inFlight())},
              {"running", std::to_string(load.running)},
              {"waiting", std::to_string(load.queued)},
              {"keys_gone", keysTransferred() ? "1" : "0"}});
}

void RouterProcess::pollStopCompletion() {
  const Duration passed = clock_.now() - stop_started_at_;
  if (passed >= settings_.stop.grace - kShutdownReserve && !requests_ended_) {
    requests_ended_ = true;
    logStop("stop-late");
    gateway_->endRequests();
    // Writes the ends of their claims.
    claims_.tick(clock_.now());
  }
  if (mayExit(passed)) {
    if (!requests_ended_) {
      logStop("stop");
    }
    log_.flush();
    on_stopped_();
    return;
  }
  if (passed >= settings_.stop.clients_leave) {
    // Clients without an alternative still send requests, which could not be finished in time.
    gateway_->refuseNewRequests();
    clients_->closeIdleConnections();
  }
  runAfter(kStopCheckInterval, [this] { pollStopCompletion(); });
}

}  // namespace shedlever
