#include "source/core/router/admission/slot_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace shedlever {

namespace {

/// A request is queued only if it would start in time after the expected wait plus this many standard deviations, and
/// removed only if it would start too late even after the expected wait minus as many.
constexpr int kDeviations = 2;

double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// @return time from now on within which arrivals of the class go ahead of a waiting request of this rank, in seconds.
double overtakingWindow(const QueueClass& queue_class, const QueueRank& rank, TimePoint now) {
  if (queue_class.priority != rank.priority) {
    return queue_class.priority < rank.priority ? std::numeric_limits<double>::infinity() : 0.0;
  }
  return std::max(0.0, toSeconds(rank.due() - (now + queue_class.target_latency)));
}

}  // namespace

void SlotQueue::addWork(WorkAhead& work, const QueueRank& rank) const {
  const ServiceTime service_time = loads_.serviceTime(rank.queueClass());
  ++work.requests;
  work.slot_seconds += toSeconds(service_time.mean);
  work.deviation_seconds += toSeconds(service_time.deviation);
}

std::vector<OvertakingFlow> SlotQueue::overtakingFlows(const std::vector<ClassFlow>& flows, const QueueRank& rank,
                                                       TimePoint now) const {
  std::vector<OvertakingFlow> overtaking;
  double slots_of_priority = 0;
  for (const ClassFlow& flow : flows) {
    const double window = overtakingWindow(flow.queue_class, rank, now);
    if (window > 0) {
      const double service_seconds = toSeconds(flow.service_time.mean);
      overtaking.push_back({flow.per_second, service_seconds, toSeconds(flow.service_time.deviation), window});
      slots_of_priority += flow.queue_class.priority == rank.priority ? flow.per_second * service_seconds : 0.0;
    }
  }
  const double most = OvertakingShare::kMaxShare * slots_;
  if (slots_of_priority > most) {
    for (OvertakingFlow& flow : overtaking) {
      flow.per_second *= std::isinf(flow.window_seconds) ? 1.0 : most / slots_of_priority;
    }
  }
  return overtaking;
}

WaitForecast SlotQueue::forecast(const QueueRank& rank, TimePoint now) const {
  if (slots_ == 0) {
    return {Duration::max(), {}, {}};
  }
  const bool slot_free = running_.size() < slots_;
  if (slot_free && !start_rate_.isLimited()) {
    return {};
  }
  WorkAhead ahead;
  // Until one of the running requests ends.
  ahead.slot_seconds = slot_free ? 0.0 : toSeconds(meanServiceTime());
  const auto behind = waiting_.upper_bound(Entry{rank, std::numeric_limits<QueueTicket>::max()});
  for (auto entry = waiting_.begin(); entry != behind; ++entry) {
    addWork(ahead, entry->first.rank);
  }
  if (behind != waiting_.end() && behind->first.rank.isComparable(rank)) {
    // The request overtakes earlier ones and gets only the slot time that is left for that.
    ahead.slot_seconds /= OvertakingShare::kMaxShare;
  }
  return forecastWait(modelAt(now), ahead, overtakingFlows(loads_.flows(now), rank, now));
}

WaitModel SlotQueue::modelAt(TimePoint now) const { return {slots_, start_rate_, now, running_.slowdown(loads_, now)}; }

void SlotQueue::start(QueueTicket ticket, const QueueRank& rank, TimePoint now) {
  running_.onStart(ticket, rank.queueClass(), now);
  start_rate_.onStart(now);
}

QueueDecision SlotQueue::admit(QueueTicket ticket, const QueueRank& rank, TimePoint now, Duration max_wait) {
  const bool may_start =
      !start_rate_.isLimited() || (waiting_.empty() && start_rate_.timeUntilNextStart(now) <= Duration::zero());
  if (running_.size() < slots_ && may_start) {
    loads_.onAdmitted(rank.queueClass(), now);
    start(ticket, rank, now);
    return {QueueVerdict::Start, {}, {}};
  }
  const WaitForecast wait = forecast(rank, now);
  if (wait.expected > max_wait || wait.expected + wait.deviation * kDeviations > max_wait) {
    return {QueueVerdict::Refuse, wait.expected, wait.overtaking};
  }
  loads_.onAdmitted(rank.queueClass(), now);
  waiting_.emplace(Entry{rank, ticket}, now + max_wait);
  ranks_.emplace(ticket, rank);
  return {QueueVerdict::Wait, {}, {}};
}

QueueDecision SlotQueue::admit(QueueTicket ticket, const TenantShare& tenant, QueueRank rank, TimePoint now,
                               Duration max_wait) {
  if (tenant.name.empty()) {
    return admit(ticket, rank, now, max_wait);
  }
  const auto waiting = waiting_by_tenant_.find(tenant.name);
  const std::uint32_t count = waiting == waiting_by_tenant_.end() ? 0 : waiting->second;
  if (running_.size() >= slots_ && tenant.queue_limit != 0 && count >= tenant.queue_limit) {
    const WaitForecast wait = forecast(rank, now);
    return {QueueVerdict::TenantFull, wait.expected, wait.overtaking};
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

void SlotQueue::onRequestEnded(QueueTicket ticket, std::optional<Duration> service_time) {
  const std::optional<QueueClass> queue_class = running_.onEnd(ticket);
  if (queue_class && service_time) {
    loads_.onServed(*queue_class, *service_time);
  }
}

SlotQueue::Waiting::const_iterator SlotQueue::chooseNext() {
  const auto first = waiting_.cbegin();
  auto earliest = first;
  for (auto entry = first; entry != waiting_.cend() && entry->first.rank.isComparable(first->first.rank); ++entry) {
    if (entry->first.ticket < earliest->first.ticket) {
      earliest = entry;
    }
  }
  const auto next = overtaking_share_.mayOvertake() ? first : earliest;
  const Duration service_time = loads_.serviceTime(next->first.rank.queueClass()).mean;
  if (next == earliest) {
    overtaking_share_.onInOrder(service_time);
  } else {
    overtaking_share_.onOvertaking(service_time);
  }
  return next;
}

std::optional<QueueTicket> SlotQueue::startNext(TimePoint now) {
  if (running_.size() >= slots_ || waiting_.empty() || start_rate_.timeUntilNextStart(now) > Duration::zero()) {
    return std::nullopt;
  }
  const auto next = chooseNext();
  const Entry entry = next->first;
  const QueueTicket ticket = entry.ticket;
  waiting_.erase(next);
  ranks_.erase(ticket);
  fair_scheduler_.onServed(entry.rank.start_tag);
  releaseTenant(ticket);
  start(ticket, entry.rank, now);
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
  if (waiting_.empty()) {
    return {};
  }
  if (slots_ == 0) {
    return removeAll();
  }
  const WaitModel model = modelAt(now);
  const std::vector<ClassFlow> flows = loads_.flows(now);
  std::vector<QueueTicket> overdue;
  WorkAhead ahead;
  for (const auto& [entry, latest_start] : waiting_) {
    const WaitForecast wait = forecastWait(model, ahead, overtakingFlows(flows, entry.rank, now));
    const Duration shortest = std::max(wait.expected - wait.deviation * kDeviations, Duration::zero());
    if (latest_start - shortest <= now) {
      overdue.push_back(entry.ticket);
    } else {
      addWork(ahead, entry.rank);
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
  const double seconds = std::chrono::duration<double>(meanServiceTime()).count();
  if (!rate || *rate * seconds >= slots_) {
    return {slots_, meanServiceTime()};
  }
  const double slots = std::max(1.0, std::round(*rate * seconds));
  const std::chrono::duration<double> slot_time(slots / *rate);
  return {static_cast<std::uint32_t>(slots), std::chrono::duration_cast<Duration>(slot_time)};
}

ServerLoad SlotQueue::load() const {
  const Capacity capacity = this->capacity();
  ServerLoad load;
  load.running = static_cast<std::uint32_t>(running_.size());
  load.queued = static_cast<std::uint32_t>(waiting_.size());
  load.slots = capacity.slots;
  load.mean_service_ms =
      static_cast<std::uint32_t>(std::chrono::floor<std::chrono::milliseconds>(capacity.slot_time).count());
  return load;
}

}  // namespace shedlever
