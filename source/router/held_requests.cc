#include "source/router/held_requests.h"

#include <utility>

namespace shedlever {

std::optional<Duration> HeldRequests::hold(QueueTicket ticket, ForwardFrame& frame, ForwardCallback& done, Key range,
                                           Duration max_wait) {
  const TimePoint now = clock_.now();
  waits_.onWaiting(range, now);
  const Duration expected = waits_.expectedRemaining(range, now);
  if (expected > max_wait) {
    return expected;
  }
  const TimePoint deadline = now + Duration(frame.remaining_us);
  held_.emplace(ticket, Held{std::move(frame), std::move(done), now + max_wait, deadline});
  return std::nullopt;
}

void HeldRequests::release(const ReasonCheck& reason_of, const ReleaseCallback& released) {
  std::vector<QueueTicket> tickets;
  tickets.reserve(held_.size());
  for (const auto& [ticket, held] : held_) {
    tickets.push_back(ticket);
  }
  for (const QueueTicket ticket : tickets) {
    releaseOne(ticket, reason_of, released);
  }
}

void HeldRequests::releaseOne(QueueTicket ticket, const ReasonCheck& reason_of, const ReleaseCallback& released) {
  const auto found = held_.find(ticket);
  if (found == held_.end()) {
    return;
  }
  const TimePoint now = clock_.now();
  const ForwardReason reason = reason_of(found->second.frame, found->second.deadline);
  if (reason == ForwardReason::NotYetOwner && now < found->second.until) {
    return;
  }
  auto node = held_.extract(found);
  Held& held = node.mapped();
  if (reason == ForwardReason::None) {
    const Duration::rep remaining_us = (held.deadline - now).count();
    held.frame.elapsed_us += held.frame.remaining_us - remaining_us;
    held.frame.remaining_us = remaining_us;
  }
  released(ticket, std::move(held.frame), std::move(held.done), reason);
}

}  // namespace shedlever
