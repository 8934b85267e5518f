#pragma once

/// @file
/// The one place that counts a server's slots: which requests run, which wait, and which are refused because they
/// would wait too long.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "shedlever/router_frames.h"
#include "shedlever/time.h"
#include "source/core/router/start_rate_limiter.h"
#include "source/core/router/tenant_fair_scheduler.h"

namespace shedlever {

/// Names a request in one queue.
using QueueTicket = std::uint64_t;

enum class QueueVerdict : std::uint8_t {
  Start,
  Wait,
  Refuse,      ///< it would wait too long
  TenantFull,  ///< its tenant has as many waiting as it may
};

struct QueueDecision {
  QueueVerdict verdict = QueueVerdict::Refuse;
  /// How long the request would have waited; with Refuse.
  Duration predicted_wait{};
};

/// Where a request stands in the queue.
struct QueueRank {
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Turn of its tenant, see `TenantFairScheduler`; 0 where tenants are not told apart.
  double start_tag = 0;
  /// Latency objective; shorter ones go first: most of all calls of other servers, each of which holds a slot there
  /// while it waits.
  Duration target_latency{};
  /// Until when an answer is waited for. What has more time left goes first: there is a queue only while there is too
  /// little room for all, and who has waited long would be answered late.
  TimePoint deadline{};

  bool operator==(const QueueRank&) const = default;
  auto operator<=>(const QueueRank& other) const {
    return std::tie(priority, start_tag, target_latency, other.deadline) <=>
           std::tie(other.priority, other.start_tag, other.target_latency, deadline);
  }
};

/// Slots and a queue in order of rank and then of arrival. Refuses by predicted wait, at once.
class SlotQueue {
 public:
  /// @param slots requests that run at once.
  explicit SlotQueue(std::uint32_t slots) : slots_(slots) {}

  void setSlots(std::uint32_t slots) { slots_ = slots; }

  /// @param per_second requests that are begun at most; none: as many as slots come free.
  void setStartLimit(std::optional<double> per_second) { start_rate_.setLimit(per_second); }
  /// Others may have begun as many as may be.
  void assumeStartLimitExhausted(TimePoint now) { start_rate_.assumeExhausted(now); }

  /// A request arrives. With Start it occupies a slot already.
  /// @param longest_wait it is refused when it would wait longer, and overdue once it has.
  QueueDecision admit(QueueTicket ticket, const QueueRank& rank, TimePoint now, Duration longest_wait);

  /// As `arrive`, for a request of a tenant: it gets its tenant's next turn, or is refused when the tenant has as many
  /// waiting as it may.
  QueueDecision admit(QueueTicket ticket, const TenantShare& tenant, QueueRank rank, TimePoint now,
                      Duration longest_wait);

  /// A running request ended.
  /// @param service_time how long it ran; none if that tells nothing about the next one.
  void onRequestEnded(std::optional<Duration> service_time);

  /// Takes the next waiting request into a free slot.
  std::optional<QueueTicket> startNext(TimePoint now);

  /// Takes a waiting request out; others are ignored.
  /// @return whether it was waiting.
  bool remove(QueueTicket ticket);

  /// Takes out all requests that would wait too long, by what is ahead of them now: who came later may go first.
  std::vector<QueueTicket> removeOverdue(TimePoint now);

  /// Takes out all waiting requests.
  std::vector<QueueTicket> removeAll();

  ServerLoad load() const;

  /// @return how long a request of this rank that arrived now would wait.
  Duration predictedWait(const QueueRank& rank, TimePoint now) const;

  /// @return mean time that a request runs.
  Duration meanServiceTime() const { return mean_service_time_; }

 private:
  void forgetTenant(QueueTicket ticket);
  /// @return how long a request waits that has so many others before it.
  Duration waitBehind(std::size_t ahead, TimePoint now) const;

  struct Entry {
    QueueRank rank;
    QueueTicket ticket = 0;
    auto operator<=>(const Entry&) const = default;
  };

  std::uint32_t slots_;
  std::uint32_t running_ = 0;
  StartRateLimiter start_rate_;
  Duration mean_service_time_ = std::chrono::milliseconds(100);
  /// Tickets rise with arrival, so the order is rank, then arrival. The value is the latest start.
  std::map<Entry, TimePoint> waiting_;
  std::unordered_map<QueueTicket, QueueRank> ranks_;
  TenantFairScheduler fair_scheduler_;
  /// Tenant of each waiting request that has one.
  std::unordered_map<QueueTicket, TenantName> tenants_;
  std::map<TenantName, std::uint32_t> waiting_by_tenant_;
};

}  // namespace shedlever
