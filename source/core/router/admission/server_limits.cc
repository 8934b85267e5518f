#include "source/core/router/admission/server_limits.h"

#include <algorithm>

namespace shedlever {

namespace {

/// Exceeds the interval between server reports, which is usually one second.
constexpr Duration kAssumedColdDuration = std::chrono::milliseconds(1500);

}  // namespace

void ServerLimits::onNewInstance() {
  named_ = {};
  queue_.setNamedLimit(std::nullopt);
  queue_.setNamedLimitUnknown(false);
}

void ServerLimits::setColdRate(double per_second, TimePoint now) {
  cold_rate_ = per_second;
  update(now);
}

void ServerLimits::setCold(Duration left, TimePoint now) {
  cold_until_ = now + left;
  update(now);
}

void ServerLimits::assumeCold(TimePoint now) { setCold(std::max(cold_until_ - now, kAssumedColdDuration), now); }

void ServerLimits::update(TimePoint now) {
  const bool limited = cold_rate_ > 0 && now < cold_until_;
  queue_.setStartLimit(limited ? std::optional(cold_rate_) : std::nullopt);
}

LimitChange ServerLimits::onResponse(const ServerCondition& condition, TimePoint sent, TimePoint now) {
  return apply(named_.onResponse(condition, sent, now));
}

LimitChange ServerLimits::onCommandResponse(const ServerCondition& condition, TimePoint sent, TimePoint now) {
  return apply(named_.onCommandResponse(condition, sent, now));
}

LimitChange ServerLimits::apply(LimitChange change) {
  if (change != LimitChange::None) {
    queue_.setNamedLimit(named_.perSecond());
  }
  return change;
}

}  // namespace shedlever
