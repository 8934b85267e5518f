#include "source/core/router/admission/slot_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace shedlever {

namespace {

/// The newest service time has the weight 1/n in the mean.
constexpr std::int64_t kMeanDivisor = 16;

}  // namespace

Duration SlotQueue::waitBehind(std::size_t ahead, TimePoint now) const {
  const std::int64_t positions = static_cast<std::int64_t>(ahead) + (running_ < slots_ ? 0 : 1);
  return std::max(mean_service_time_ * positions / static_cast<std::int64_t>(slots_),
                  start_rate_.timeUntilStartBehind(ahead, now));
}

Duration SlotQueue::predictedWait(const QueueRank& rank, TimePoint now) const {
  if (slots_ == 0) {
    return Duration::max();
  }
  if (running_ < slots_ && !start_rate_.isLimited()) {
    return Duration::zero();
  }
  const auto ahead =
      std::distance(waiting_.begin(), waiting_.upper_bound(Entry{rank, std::numeric_limits<QueueTicket>::max()}));
  return waitBehind(static_cast<std::size_t>(ahead), now);
}

QueueDecision SlotQueue::admit(QueueTicket ticket, const QueueRank& rank, TimePoint now, Duration max_wait) {
  const bool may_start =
      !start_rate_.isLimited() || (waiting_.empty() && start_rate_.timeUntilNextStart(now) <= Duration::zero());
  if (running_ < slots_ && may_start) {
    ++running_;
    start_rate_.onStart(now);
    return {QueueVerdict::Start, {}};
  }
  const Duration wait = predictedWait(rank, now);
  if (wait > max_wait) {
    return {QueueVerdict::Refuse, wait};
  }
  waiting_.emplace(Entry{rank, ticket}, now + max_wait);
  ranks_.emplace(ticket, rank);
  return {QueueVerdict::Wait, {}};
}

QueueDecision SlotQueue::admit(QueueTicket ticket, const TenantShare& tenant, QueueRank rank, TimePoint now,
                               Duration max_wait) {
  if (tenant.name.empty()) {
    return admit(ticket, rank, now, max_wait);
  }
  const auto waiting = waiting_by_tenant_.find(tenant.name);
  const std::uint32_t count = waiting == waiting_by_tenant_.end() ? 0 : waiting->second;
  if (running_ >= slots_ && tenant.queue_limit != 0 && count >= tenant.queue_limit) {
    return {QueueVerdict::TenantFull, predictedWait(rank, now)};
  }
  rank.start_tag = fair_scheduler_.nextStartTag(tenant);
  const QueueDecision decision = admit(ticket, rank, now, max_wait);
  if (decision.verdict == QueueVerdict::Wait) {
    fair_scheduler_.onQueued(tenant);
    tenants_.emplace(ticket, tenant.name);
    ++waiting_by_tenant_[tenant.name];
  }
  return decision;
}

void SlotQueue::releaseTenant(QueueTicket ticket) {
  const auto tenant = tenants_.extract(ticket);
  if (!tenant.empty() && --waiting_by_tenant_[tenant.mapped()] == 0) {
    waiting_by_tenant_.erase(tenant.mapped());
  }
  if (waiting_.empty()) {
    fair_scheduler_.reset();
  }
}

void SlotQueue::onRequestEnded(std::optional<Duration> service_time) {
  running_ -= std::min(running_, 1U);
  if (service_time) {
    mean_service_time_ += (*service_time - mean_service_time_) / kMeanDivisor;
  }
}

std::optional<QueueTicket> SlotQueue::startNext(TimePoint now) {
  if (running_ >= slots_ || waiting_.empty() || start_rate_.timeUntilNextStart(now) > Duration::zero()) {
    return std::nullopt;
  }
  const Entry entry = waiting_.begin()->first;
  const QueueTicket ticket = entry.ticket;
  waiting_.erase(waiting_.begin());
  ranks_.erase(ticket);
  fair_scheduler_.onServed(entry.rank.start_tag);
  releaseTenant(ticket);
  ++running_;
  start_rate_.onStart(now);
  return ticket;
}

bool SlotQueue::remove(QueueTicket ticket) {
  const auto found = ranks_.find(ticket);
  if (found == ranks_.end()) {
    return false;
  }
  waiting_.erase(Entry{found->second, ticket});
  ranks_.erase(found);
  releaseTenant(ticket);
  return true;
}

std::vector<QueueTicket> SlotQueue::removeOverdue(TimePoint now) {
  std::vector<QueueTicket> overdue;
  std::size_t ahead = 0;
  for (const auto& [entry, latest_start] : waiting_) {
    const Duration by_slots =
        slots_ == 0 ? Duration::zero()
                    : mean_service_time_ * static_cast<std::int64_t>(ahead) / static_cast<std::int64_t>(slots_);
    const Duration wait = std::max(by_slots, start_rate_.timeUntilStartBehind(ahead, now));
    if (latest_start - wait <= now) {
      overdue.push_back(entry.ticket);
    } else {
      ++ahead;
    }
  }
  for (const QueueTicket ticket : overdue) {
    remove(ticket);
  }
  return overdue;
}

std::vector<QueueTicket> SlotQueue::removeAll() {
  std::vector<QueueTicket> all;
  for (const auto& [entry, latest_start] : waiting_) {
    all.push_back(entry.ticket);
  }
  for (const QueueTicket ticket : all) {
    remove(ticket);
  }
  return all;
}

SlotQueue::Capacity SlotQueue::capacity() const {
  const std::optional<double> rate = start_rate_.sustainedRate();
  const double seconds = std::chrono::duration<double>(mean_service_time_).count();
  if (!rate || *rate * seconds >= slots_) {
    return {slots_, mean_service_time_};
  }
  const double slots = std::max(1.0, std::round(*rate * seconds));
  const std::chrono::duration<double> slot_time(slots / *rate);
  return {static_cast<std::uint32_t>(slots), std::chrono::duration_cast<Duration>(slot_time)};
}

ServerLoad SlotQueue::load() const {
  const Capacity capacity = this->capacity();
  ServerLoad load;
  load.running = running_;
  load.queued = static_cast<std::uint32_t>(waiting_.size());
  load.slots = capacity.slots;
  load.mean_service_ms =
      static_cast<std::uint32_t>(std::chrono::floor<std::chrono::milliseconds>(capacity.slot_time).count());
  return load;
}

}  // namespace shedlever
