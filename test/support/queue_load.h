#pragma once

/// @file
/// A server's queue under a load on virtual time: what is served in time and what waits in vain. Used by the tests of
/// the queue's order.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "source/core/router/admission/duration_estimator.h"
#include "source/core/router/admission/slot_queue.h"

namespace shedlever::test {

/// Requests of one class.
struct LoadStream {
  std::string name;
  std::uint32_t priority = 0;
  Duration target{};
  /// Time after which the client leaves.
  Duration deadline{};
  /// Mean time in a slot; single times vary by half of it.
  Duration work{};
  double per_second = 0;
  /// Times after the start between which requests arrive.
  Duration from{};
  Duration until{};
  TenantShare tenant = {};
};

/// What became of the requests of one stream.
struct StreamResult {
  std::size_t arrived = 0;
  std::size_t started = 0;
  std::size_t served_in_time = 0;
  /// Queued and then removed without having started.
  std::size_t waited_in_vain = 0;
  Duration longest_vain_wait{};
  /// Time in slots.
  Duration slot_time{};
  Duration longest_start_wait{};

  double shareServedInTime() const { return static_cast<double>(served_in_time) / static_cast<double>(arrived); }
  double shareInVain() const { return static_cast<double>(waited_in_vain) / static_cast<double>(arrived); }
};

/// Sends requests at random times to one `SlotQueue`, which decides when they start.
class QueueLoad {
 public:
  /// Runs in each simulated millisecond, for example to change the server.
  using Step = std::function<void(QueueLoad& load, Duration since_start)>;

  QueueLoad(std::uint64_t seed, std::uint32_t slots, std::vector<LoadStream> streams)
      : random_(seed), streams_(std::move(streams)), results_(streams_.size()), queue_(slots) {}

  /// Simulates arrivals for this time, and then some time for the last requests.
  void run(Duration length, const Step& step = {});

  const StreamResult& result(std::size_t stream) const { return results_.at(stream); }
  /// @return results of all streams together.
  StreamResult total() const;

  SlotQueue& queue() { return queue_; }
  /// Requests that start from now on run longer by this factor.
  void setSlowness(double factor) { slowness_ = factor; }

 private:
  struct Request {
    std::size_t stream = 0;
    TimePoint arrived{};
    TimePoint started{};
    Duration work{};
  };

  void arrive(std::size_t stream, TimePoint now);
  void start(QueueTicket ticket, TimePoint now);
  void finishRequests(TimePoint now);
  void removeOverdue(TimePoint now);
  /// @return the longest wait with which a request may still be queued, as the gate computes it.
  Duration maxWait(const LoadStream& stream) const;

  std::mt19937_64 random_;
  std::vector<LoadStream> streams_;
  std::vector<StreamResult> results_;
  SlotQueue queue_;
  DurationEstimator service_times_;
  double slowness_ = 1.0;
  QueueTicket last_ticket_ = 0;
  std::map<QueueTicket, Request> requests_;
  std::multimap<TimePoint, QueueTicket> ends_;
};

}  // namespace shedlever::test
