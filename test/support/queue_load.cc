#include "test/support/queue_load.h"

#include <algorithm>

namespace shedlever::test {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr Duration kStep = milliseconds(1);
/// Interval at which the gate looks for overdue requests.
constexpr Duration kTick = milliseconds(25);
constexpr Duration kMinWaitLimit = milliseconds(100);
/// Time that is simulated after the last arrival, so that the queue empties.
constexpr Duration kUntilEmpty = std::chrono::seconds(3);

}  // namespace

void QueueLoad::run(Duration length, const Step& step) {
  for (TimePoint now = kStart; now < kStart + length + kUntilEmpty; now += kStep) {
    const Duration since_start = now - kStart;
    finishRequests(now);
    if (step) {
      step(*this, since_start);
    }
    for (std::size_t i = 0; i < streams_.size(); ++i) {
      // Drawn for each step, so that the arrivals do not depend on the queue's decisions.
      const double chance = streams_[i].per_second * std::chrono::duration<double>(kStep).count();
      const bool arrives = std::bernoulli_distribution(std::min(chance, 1.0))(random_);
      if (arrives && since_start >= streams_[i].from && since_start < std::min(streams_[i].until, length)) {
        arrive(i, now);
      }
    }
    if (since_start % kTick == Duration::zero()) {
      removeOverdue(now);
    }
    while (const auto ticket = queue_.startNext(now)) {
      start(*ticket, now);
    }
  }
}

StreamResult QueueLoad::total() const {
  StreamResult total;
  for (const StreamResult& result : results_) {
    total.arrived += result.arrived;
    total.started += result.started;
    total.served_in_time += result.served_in_time;
    total.waited_in_vain += result.waited_in_vain;
    total.longest_vain_wait = std::max(total.longest_vain_wait, result.longest_vain_wait);
    total.longest_start_wait = std::max(total.longest_start_wait, result.longest_start_wait);
    total.slot_time += result.slot_time;
  }
  return total;
}

Duration QueueLoad::maxWait(const LoadStream& stream) const {
  const Duration expected = service_times_.expected(stream.name, queue_.meanServiceTime());
  return std::min(std::max(stream.target - expected, kMinWaitLimit), stream.deadline - expected);
}

void QueueLoad::arrive(std::size_t stream, TimePoint now) {
  const LoadStream& load = streams_[stream];
  const QueueTicket ticket = ++last_ticket_;
  const double factor = std::uniform_real_distribution(0.5, 1.5)(random_);
  const auto work = std::chrono::duration_cast<Duration>(load.work * factor);
  requests_[ticket] = {stream, now, {}, work};
  ++results_[stream].arrived;
  const QueueRank rank{load.priority, 0, load.target, now};
  const QueueDecision decision = queue_.admit(ticket, load.tenant, rank, now, maxWait(load));
  if (decision.verdict == QueueVerdict::Start) {
    start(ticket, now);
  }
}

void QueueLoad::start(QueueTicket ticket, TimePoint now) {
  Request& request = requests_.at(ticket);
  request.started = now;
  request.work = std::chrono::duration_cast<Duration>(request.work * slowness_);
  StreamResult& result = results_[request.stream];
  ++result.started;
  result.slot_time += request.work;
  result.longest_start_wait = std::max(result.longest_start_wait, now - request.arrived);
  ends_.emplace(now + request.work, ticket);
}

void QueueLoad::finishRequests(TimePoint now) {
  while (!ends_.empty() && ends_.begin()->first <= now) {
    const QueueTicket ticket = ends_.begin()->second;
    ends_.erase(ends_.begin());
    const Request& request = requests_.at(ticket);
    const LoadStream& load = streams_[request.stream];
    queue_.onRequestEnded(ticket, request.work);
    service_times_.record(load.name, request.work);
    const bool in_time = request.started + request.work - request.arrived <= load.target;
    results_[request.stream].served_in_time += in_time ? 1 : 0;
  }
}

void QueueLoad::removeOverdue(TimePoint now) {
  for (const QueueTicket ticket : queue_.removeOverdue(now)) {
    const Request& request = requests_.at(ticket);
    StreamResult& result = results_[request.stream];
    ++result.waited_in_vain;
    result.longest_vain_wait = std::max(result.longest_vain_wait, now - request.arrived);
  }
}

}  // namespace shedlever::test
