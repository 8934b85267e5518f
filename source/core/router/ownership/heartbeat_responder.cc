#include "source/core/router/ownership/heartbeat_responder.h"

#include <utility>

namespace shedlever {

void HeartbeatResponder::onHeartbeat(KeyReport report, Reply reply) {
  if (pending_) {
    // The server has given up the earlier heartbeat or may receive the acknowledgements out of order.
    const PendingHeartbeat earlier = *std::exchange(pending_, std::nullopt);
    earlier.reply(std::nullopt);
  }
  pending_ = PendingHeartbeat{std::move(report), std::move(reply), ports_.clock->now()};
  respondIfDue();
}

void HeartbeatResponder::respondIfDue() {
  if (!pending_) {
    return;
  }
  const bool is_over = ports_.clock->now() - pending_->received >= max_wait_;
  if (is_over || ports_.would_change(pending_->report)) {
    respond();
  }
}

void HeartbeatResponder::respond() {
  const PendingHeartbeat waiting = *std::exchange(pending_, std::nullopt);
  waiting.reply(ports_.assign(waiting.report, waiting.received));
  ports_.on_acknowledged();
}

}  // namespace shedlever
