#include "source/core/router/admission/queue_class_loads.h"

namespace shedlever {

namespace {

/// The newest service time has the weight 1/n in the mean and in the deviation.
constexpr std::int64_t kMeanDivisor = 16;
/// Idle classes are dropped only above this number, so that the service times of rare classes are kept.
constexpr std::size_t kMaxIdleClasses = 32;

void addSample(ServiceTime& estimate, Duration sample) {
  const Duration error = sample - estimate.mean;
  estimate.mean += error / kMeanDivisor;
  estimate.deviation += (std::chrono::abs(error) - estimate.deviation) / kMeanDivisor;
}

}  // namespace

void QueueClassLoads::onAdmitted(const QueueClass& queue_class, TimePoint now) {
  if (classes_.size() > kMaxIdleClasses && !classes_.contains(queue_class)) {
    dropIdle(now);
  }
  classes_[queue_class].admitted.record(now);
}

void QueueClassLoads::dropIdle(TimePoint now) {
  std::erase_if(classes_, [now](const auto& entry) { return entry.second.admitted.isIdle(now); });
}

void QueueClassLoads::onServed(const QueueClass& queue_class, Duration service_time) {
  addSample(all_, service_time);
  const auto found = classes_.find(queue_class);
  if (found == classes_.end()) {
    return;
  }
  std::optional<ServiceTime>& estimate = found->second.service_time;
  if (!estimate) {
    estimate = ServiceTime{service_time, {}};
  } else {
    addSample(*estimate, service_time);
  }
}

ServiceTime QueueClassLoads::serviceTime(const QueueClass& queue_class) const {
  const auto found = classes_.find(queue_class);
  return found == classes_.end() ? all_ : found->second.service_time.value_or(all_);
}

std::vector<ClassFlow> QueueClassLoads::flows(TimePoint now) const {
  std::vector<ClassFlow> flows;
  for (const auto& [queue_class, load] : classes_) {
    const double per_second = load.admitted.perSecond(now);
    if (per_second > 0) {
      flows.push_back({queue_class, per_second, serviceTime(queue_class)});
    }
  }
  return flows;
}

}  // namespace shedlever
