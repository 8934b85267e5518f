#include "source/core/router/store/staleness_bound.h"

#include <algorithm>
#include <utility>

namespace shedlever {

namespace {

/// Delay after a query without an answer; doubles with each further one.
constexpr Duration kRetryDelay = std::chrono::milliseconds(400);
/// Short enough that a process with a restored connection to the store has about 2 s to read the changes.
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(1600);
/// Increase of the query rate towards the limit. Without it the limit would more often be reached without any query,
/// and then all processes would query at once.
constexpr double kMaxExtraUrgency = 9;
/// Time for the query that a too old view leads to, and for its effects.
constexpr Duration kQueryReserve = std::chrono::seconds(1);
/// Shorter limits would make small deployments query more often than their results are passed on.
constexpr Duration kShortestMaxStaleness = std::chrono::milliseconds(1500);
constexpr int kMinPercentOfMax = 47;
constexpr int kHundred = 100;
/// Resolution of the random decision.
constexpr std::uint64_t kRandomSteps = 1'000'000;

}  // namespace

StalenessLimits stalenessLimitsFor(Duration time_limit) {
  StalenessLimits limits;
  limits.max_staleness = std::max(kShortestMaxStaleness, time_limit - kQueryReserve);
  limits.min_staleness = limits.max_staleness * kMinPercentOfMax / kHundred;
  return limits;
}

StalenessBound::StalenessBound(const StalenessLimits& limits, TimePoint now)
    : limits_(limits), backoff_(kRetryDelay, kMaxRetryDelay), newest_at_(now), last_call_(now) {}

void StalenessBound::noteFreshAt(TimePoint at) {
  // Other processes repeat the same time with each reply; this does not show that the store answers again.
  if (at <= newest_at_) {
    return;
  }
  newest_at_ = at;
  backoff_.onSuccess();
  not_before_ = {};
}

void StalenessBound::onFailed(TimePoint now) { not_before_ = now + backoff_.onFailure(); }

bool StalenessBound::shouldQuery(TimePoint now, std::size_t process_count, RandomSource& random) {
  const Duration elapsed = now - std::exchange(last_call_, now);
  const Duration stale = staleness(now);
  if (stale < limits_.min_staleness || now < not_before_) {
    return false;
  }
  if (stale >= limits_.max_staleness) {
    return true;
  }
  const auto span = static_cast<double>((limits_.max_staleness - limits_.min_staleness).count());
  const double urgency = 1 + kMaxExtraUrgency * static_cast<double>((stale - limits_.min_staleness).count()) / span;
  const double queries = limits_.queries_per_second * urgency * std::chrono::duration<double>(elapsed).count();
  const double probability = queries / static_cast<double>(std::max<std::size_t>(process_count, 1));
  return static_cast<double>(random.below(kRandomSteps)) < probability * kRandomSteps;
}

}  // namespace shedlever
