#include "source/core/router/heartbeat_responder.h"

#include <utility>

namespace shedlever {

void HeartbeatResponder::take(KeyReport report, Reply reply) {
  if (waiting_) {
    // The server has given it up, or will not see two acknowledgements in their order.
    const Waiting earlier = *std::exchange(waiting_, std::nullopt);
    earlier.reply(std::nullopt);
  }
  waiting_ = Waiting{std::move(report), std::move(reply), ports_.clock->now()};
  check();
}

void HeartbeatResponder::check() {
  if (!waiting_) {
    return;
  }
  const bool is_over = ports_.clock->now() - waiting_->received >= longest_wait_;
  if (is_over || ports_.would_change(waiting_->report)) {
    respond();
  }
}

void HeartbeatResponder::respond() {
  const Waiting waiting = *std::exchange(waiting_, std::nullopt);
  waiting.reply(ports_.assign(waiting.report, waiting.received));
  ports_.acknowledged();
}

}  // namespace shedlever
