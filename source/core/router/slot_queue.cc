#include "source/core/router/slot_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace shedlever {

namespace {

/// Share of the newest service time in the mean.
constexpr std::int64_t kMeanDivisor = 16;

}  // namespace

Duration SlotQueue::waitBehind(std::size_t ahead, TimePoint now) const {
  const std::int64_t places = static_cast<std::int64_t>(ahead) + (running_ < slots_ ? 0 : 1);
  return std::max(mean_service_ * places / static_cast<std::int64_t>(slots_), starts_.untilNextBehind(ahead, now));
}

Duration SlotQueue::predictedWait(const QueueRank& rank, TimePoint now) const {
  if (slots_ == 0) {
    return Duration::max();
  }
  if (running_ < slots_ && !starts_.isLimited()) {
    return Duration::zero();
  }
  const auto ahead =
      std::distance(waiting_.begin(), waiting_.upper_bound(Place{rank, std::numeric_limits<QueueTicket>::max()}));
  return waitBehind(static_cast<std::size_t>(ahead), now);
}

QueueDecision SlotQueue::arrive(QueueTicket ticket, const QueueRank& rank, TimePoint now, Duration longest_wait) {
  const bool may_start = !starts_.isLimited() || (waiting_.empty() && starts_.untilNext(now) <= Duration::zero());
  if (running_ < slots_ && may_start) {
    ++running_;
    starts_.onStart(now);
    return {QueueVerdict::Start, {}};
  }
  const Duration wait = predictedWait(rank, now);
  if (wait > longest_wait) {
    return {QueueVerdict::Refuse, wait};
  }
  waiting_.emplace(Place{rank, ticket}, now + longest_wait);
  ranks_.emplace(ticket, rank);
  return {QueueVerdict::Wait, {}};
}

QueueDecision SlotQueue::arrive(QueueTicket ticket, const TenantShare& tenant, QueueRank rank, TimePoint now,
                                Duration longest_wait) {
  if (tenant.name.empty()) {
    return arrive(ticket, rank, now, longest_wait);
  }
  const auto waiting = waiting_by_tenant_.find(tenant.name);
  const std::uint32_t count = waiting == waiting_by_tenant_.end() ? 0 : waiting->second;
  if (running_ >= slots_ && tenant.queue_limit != 0 && count >= tenant.queue_limit) {
    return {QueueVerdict::TenantFull, predictedWait(rank, now)};
  }
  rank.turn = turns_.peek(tenant);
  const QueueDecision decision = arrive(ticket, rank, now, longest_wait);
  if (decision.verdict == QueueVerdict::Wait) {
    turns_.take(tenant);
    tenants_.emplace(ticket, tenant.name);
    ++waiting_by_tenant_[tenant.name];
  }
  return decision;
}

void SlotQueue::forgetTenant(QueueTicket ticket) {
  const auto tenant = tenants_.extract(ticket);
  if (!tenant.empty() && --waiting_by_tenant_[tenant.mapped()] == 0) {
    waiting_by_tenant_.erase(tenant.mapped());
  }
  if (waiting_.empty()) {
    turns_.reset();
  }
}

void SlotQueue::ended(std::optional<Duration> service_time) {
  running_ -= std::min(running_, 1U);
  if (service_time) {
    mean_service_ += (*service_time - mean_service_) / kMeanDivisor;
  }
}

std::optional<QueueTicket> SlotQueue::startNext(TimePoint now) {
  if (running_ >= slots_ || waiting_.empty() || starts_.untilNext(now) > Duration::zero()) {
    return std::nullopt;
  }
  const Place place = waiting_.begin()->first;
  const QueueTicket ticket = place.ticket;
  waiting_.erase(waiting_.begin());
  ranks_.erase(ticket);
  turns_.onServed(place.rank.turn);
  forgetTenant(ticket);
  ++running_;
  starts_.onStart(now);
  return ticket;
}

bool SlotQueue::remove(QueueTicket ticket) {
  const auto found = ranks_.find(ticket);
  if (found == ranks_.end()) {
    return false;
  }
  waiting_.erase(Place{found->second, ticket});
  ranks_.erase(found);
  forgetTenant(ticket);
  return true;
}

std::vector<QueueTicket> SlotQueue::takeOverdue(TimePoint now) {
  std::vector<QueueTicket> overdue;
  std::size_t ahead = 0;
  for (const auto& [place, latest_start] : waiting_) {
    const Duration by_slots =
        slots_ == 0 ? Duration::zero()
                    : mean_service_ * static_cast<std::int64_t>(ahead) / static_cast<std::int64_t>(slots_);
    const Duration wait = std::max(by_slots, starts_.untilNextBehind(ahead, now));
    if (latest_start - wait <= now) {
      overdue.push_back(place.ticket);
    } else {
      ++ahead;
    }
  }
  for (const QueueTicket ticket : overdue) {
    remove(ticket);
  }
  return overdue;
}

std::vector<QueueTicket> SlotQueue::takeAll() {
  std::vector<QueueTicket> all;
  for (const auto& [place, latest_start] : waiting_) {
    all.push_back(place.ticket);
  }
  for (const QueueTicket ticket : all) {
    remove(ticket);
  }
  return all;
}

ServerLoad SlotQueue::load() const {
  ServerLoad load;
  load.running = running_;
  load.queued = static_cast<std::uint32_t>(waiting_.size());
  load.slots = starts_.isLimited() ? std::min(slots_, starts_.slotsFor(mean_service_)) : slots_;
  load.mean_service_ms =
      static_cast<std::uint32_t>(std::chrono::floor<std::chrono::milliseconds>(mean_service_).count());
  return load;
}

}  // namespace shedlever
