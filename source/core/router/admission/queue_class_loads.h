#pragma once

/// @file
/// Measures, for each class of requests at a server, how many are admitted and how long they run.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "shedlever/time.h"
#include "source/core/router/admission/arrival_rate_meter.h"

namespace shedlever {

/// Requests of the same priority and latency objective, which the queue treats alike.
struct QueueClass {
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  Duration target_latency{};

  auto operator<=>(const QueueClass&) const = default;
};

/// Service time of a class.
struct ServiceTime {
  Duration mean{};
  /// Mean absolute deviation from the mean.
  Duration deviation{};
};

/// Rate of the admitted requests of one class, and their service time.
struct ClassFlow {
  QueueClass queue_class;
  double per_second = 0;
  ServiceTime service_time;
};

/// Admission rates and service times by class. Refused requests are not counted, because they delay no others.
class QueueClassLoads {
 public:
  void onAdmitted(const QueueClass& queue_class, TimePoint now);

  /// Records that a request of the class has run for this time.
  void onServed(const QueueClass& queue_class, Duration service_time);

  /// @return service time of the class; that of all classes together while the class has no sample.
  ServiceTime serviceTime(const QueueClass& queue_class) const;

  /// @return mean service time over all classes.
  Duration meanServiceTime() const { return all_.mean; }

  /// @return the classes of which requests are admitted now.
  std::vector<ClassFlow> flows(TimePoint now) const;

 private:
  struct ClassLoad {
    ArrivalRateMeter admitted;
    std::optional<ServiceTime> service_time;
  };

  void dropIdle(TimePoint now);

  std::map<QueueClass, ClassLoad> classes_;
  /// Assumed before the first request has ended.
  ServiceTime all_{std::chrono::milliseconds(100), {}};
};

}  // namespace shedlever
