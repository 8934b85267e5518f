#include "source/core/router/staleness_bound.h"

#include <algorithm>
#include <utility>

namespace shedlever {

namespace {

/// After a question without an answer; doubles with each ...
constexpr Duration kRetryDelay = std::chrono::milliseconds(400);
/// ... up to this: a process whose path to the store is whole again has some 2 s to read what has changed.
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(1600);
/// How much more often all ask shortly before the limit: else it would come once in 25 times that nobody had asked, and
/// all would ask at once.
constexpr double kMaxExtraUrgency = 9;
/// Steps of chance.
constexpr std::uint64_t kRandomSteps = 1'000'000;

}  // namespace

StalenessBound::StalenessBound(const StalenessLimits& limits, TimePoint now)
    : limits_(limits), backoff_(kRetryDelay, kMaxRetryDelay), newest_at_(now), last_call_(now) {}

void StalenessBound::noteFreshAt(TimePoint at) {
  // Others tell the same with each reply: that is no sign that the store answers again.
  if (at <= newest_at_) {
    return;
  }
  newest_at_ = at;
  backoff_.onSuccess();
  not_before_ = {};
}

void StalenessBound::onFailed(TimePoint now) { not_before_ = now + backoff_.onFailure(); }

bool StalenessBound::shouldQuery(TimePoint now, std::size_t processes, RandomSource& random) {
  const Duration covered = now - std::exchange(last_call_, now);
  const Duration stale = staleness(now);
  if (stale < limits_.min_staleness || now < not_before_) {
    return false;
  }
  if (stale >= limits_.max_staleness) {
    return true;
  }
  const auto span = static_cast<double>((limits_.max_staleness - limits_.min_staleness).count());
  const double urgency = 1 + kMaxExtraUrgency * static_cast<double>((stale - limits_.min_staleness).count()) / span;
  const double questions = limits_.queries_per_second * urgency * std::chrono::duration<double>(covered).count();
  const double chance = questions / static_cast<double>(std::max<std::size_t>(processes, 1));
  return static_cast<double>(random.below(kRandomSteps)) < chance * kRandomSteps;
}

}  // namespace shedlever
