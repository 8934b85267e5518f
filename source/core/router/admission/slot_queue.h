#pragma once

/// @file
/// Admission control for one server: counts its slots and decides which requests run, which wait, and which are refused
/// because they would wait too long.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "shedlever/router_frames.h"
#include "shedlever/time.h"
#include "source/core/router/admission/overtaking_share.h"
#include "source/core/router/admission/queue_class_loads.h"
#include "source/core/router/admission/running_requests.h"
#include "source/core/router/admission/start_rate_limiter.h"
#include "source/core/router/admission/tenant_fair_scheduler.h"
#include "source/core/router/admission/wait_forecast.h"

namespace shedlever {

enum class QueueVerdict : std::uint8_t {
  Start,
  Wait,
  Refuse,      ///< the request would wait too long
  TenantFull,  ///< the tenant has reached its limit of waiting requests
};

struct QueueDecision {
  QueueVerdict verdict = QueueVerdict::Refuse;
  /// How long the request would have waited; set with Refuse and TenantFull.
  Duration predicted_wait{};
  /// Part of the predicted wait that is due to requests expected to arrive later and to go ahead.
  Duration overtaking_wait{};
};

/// Determines the order of requests in the queue.
struct QueueRank {
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Start tag from `TenantFairScheduler`; 0 for requests without a tenant.
  double start_tag = 0;
  /// Latency objective. Short objectives mostly belong to calls from other servers, each of which occupies a slot there
  /// while it waits.
  Duration target_latency{};
  /// When the request arrived at this queue.
  TimePoint arrived{};

  /// @return when the latency objective is reached, counted from the arrival at this queue. Earlier due times go first:
  ///   a request overtakes one that arrived earlier only if its objective is shorter by more than the difference of the
  ///   arrivals. Time spent before the arrival does not count, because a request that is already late would otherwise
  ///   delay those that are not.
  TimePoint due() const { return arrived + target_latency; }

  QueueClass queueClass() const { return {priority, target_latency}; }

  /// @return whether only the due time decides which of the two goes first.
  bool isComparable(const QueueRank& other) const { return priority == other.priority && start_tag == other.start_tag; }

  bool operator==(const QueueRank& other) const { return (*this <=> other) == 0; }
  std::partial_ordering operator<=>(const QueueRank& other) const {
    return std::tuple(priority, start_tag, due()) <=> std::tuple(other.priority, other.start_tag, other.due());
  }
};

/// Slots and a queue, ordered by rank and then by arrival. Requests that overtake earlier ones of their priority get
/// only a part of the slot time, see `OvertakingShare`. A request whose predicted wait is too long is refused at once.
/// The prediction includes the requests that will arrive later and go ahead, at the rate at which such requests have
/// been admitted lately.
class SlotQueue {
 public:
  /// @param slots number of requests that may run concurrently.
  explicit SlotQueue(std::uint32_t slots) : slots_(slots) {}

  void setSlots(std::uint32_t slots) { slots_ = slots; }

  /// @param per_second maximum rate at which requests start; none: limited by the slots alone.
  void setStartLimit(std::optional<double> per_second) { start_rate_.setLimit(per_second); }
  /// Sets the rate that the server names, see `StartRateLimiter`.
  void setNamedLimit(std::optional<double> per_second) { start_rate_.setNamedLimit(per_second); }
  void setNamedLimitUnknown(bool unknown) { start_rate_.setNamedLimitUnknown(unknown); }
  /// Assumes that another router process has already started as many requests as the limit allows.
  void assumeStartLimitExhausted(TimePoint now) { start_rate_.assumeExhausted(now); }

  /// Handles the arrival of a request. With Start the request already occupies a slot.
  /// @param max_wait the request is refused if its predicted wait is longer. A queued request is overdue once it can no
  ///   longer start within this time, see `removeOverdue`.
  QueueDecision admit(QueueTicket ticket, const QueueRank& rank, TimePoint now, Duration max_wait);

  /// As above for a request of a tenant: the request gets its tenant's next start tag. While all slots are in use, it
  /// is refused if the tenant has reached its limit of waiting requests.
  QueueDecision admit(QueueTicket ticket, const TenantShare& tenant, QueueRank rank, TimePoint now, Duration max_wait);

  /// Frees the slot of a request that has ended; other tickets are ignored.
  /// @param service_time how long the request ran; none if the time is not representative.
  void onRequestEnded(QueueTicket ticket, std::optional<Duration> service_time);

  /// Moves the next waiting request into a free slot.
  /// @return its ticket; none if no slot is free, no request waits, or the start limit is reached.
  std::optional<QueueTicket> startNext(TimePoint now);

  /// Removes a waiting request; other tickets are ignored.
  /// @return whether the request was waiting.
  bool remove(QueueTicket ticket);

  /// Removes all requests that are not expected to start in time any more. The prediction is that of `forecast`, except
  /// that it assumes a free slot and that requests that overtake need not leave slot time to earlier ones. Call after
  /// each change of the slots or limits, and often, because service times and other requests change it too.
  std::vector<QueueTicket> removeOverdue(TimePoint now);

  /// Removes all waiting requests.
  std::vector<QueueTicket> removeAll();

  /// A server with a rate limit that its slots could exceed is described as one with so many slots, each in use for so
  /// long, that they admit just that rate.
  ServerLoad load() const;

  /// @return whether a request that arrived now could not start yet because of the cold or the named limit.
  bool isStartLimitReached(TimePoint now) const {
    return start_rate_.sustainedRate() && start_rate_.timeUntilNextStart(now) > Duration::zero();
  }

  /// @return how long a request occupies one of the slots that `load` states.
  Duration slotTime() const { return capacity().slot_time; }

  /// @return the wait of a request of this rank that arrived now; the longest duration if there is no slot.
  WaitForecast forecast(const QueueRank& rank, TimePoint now) const;

  /// @return mean time for which a request runs.
  Duration meanServiceTime() const { return loads_.meanServiceTime(); }

 private:
  struct Capacity {
    std::uint32_t slots = 0;
    Duration slot_time{};
  };

  /// Waiting requests with their latest start. Tickets increase with arrival, so the order is rank, then arrival.
  struct Entry {
    QueueRank rank;
    QueueTicket ticket = 0;
    auto operator<=>(const Entry&) const = default;
  };
  using Waiting = std::map<Entry, TimePoint>;

  Capacity capacity() const;
  void releaseTenant(QueueTicket ticket);
  void start(QueueTicket ticket, const QueueRank& rank, TimePoint now);
  void addWork(WorkAhead& work, const QueueRank& rank) const;
  WaitModel modelAt(TimePoint now) const;
  /// @return the classes of which later arrivals go ahead of a request of this rank.
  std::vector<OvertakingFlow> overtakingFlows(const std::vector<ClassFlow>& flows, const QueueRank& rank,
                                              TimePoint now) const;
  /// @return the waiting request that starts next; the queue must not be empty.
  Waiting::const_iterator chooseNext();

  std::uint32_t slots_;
  RunningRequests running_;
  StartRateLimiter start_rate_;
  QueueClassLoads loads_;
  OvertakingShare overtaking_share_;
  Waiting waiting_;
  std::unordered_map<QueueTicket, QueueRank> ranks_;
  TenantFairScheduler fair_scheduler_;
  /// Tenants of the waiting requests that have one.
  std::unordered_map<QueueTicket, TenantName> tenants_;
  std::map<TenantName, std::uint32_t> waiting_by_tenant_;
};

}  // namespace shedlever
