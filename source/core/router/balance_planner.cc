#include "source/core/router/balance_planner.h"

namespace shedlever {

namespace {

/// Part of the difference to a less loaded server that one move takes away.
constexpr double kMovedPart = 0.4;
/// A move may bring this much more work than wanted.
constexpr double kMostOverWanted = 1.5;

}  // namespace

double BalancePlanner::workOf(const std::vector<OwnedRange>& ranges, TimePoint now) const {
  double work = 0;
  for (const OwnedRange& range : ranges) {
    work += meter_.sum(range.keys, now);
  }
  return work;
}

std::optional<PlannedMove> BalancePlanner::plan(const BalanceView& view, TimePoint now) const {
  if (view.targets.empty() || view.occupancy < config_.busy_occupancy ||
      view.occupancy - view.targets.front().occupancy < config_.occupancy_gap) {
    return std::nullopt;
  }
  const BalanceTarget& to = view.targets.front();
  const double part = kMovedPart * 2.0 / static_cast<double>(view.other_givers + 2);
  const double wanted = workOf(view.owned, now) * part * (view.occupancy - to.occupancy) / view.occupancy;
  std::optional<KeySpan> best;
  double best_work = 0;
  for (const OwnedRange& range : view.owned) {
    const auto cut = meter_.cut(range.keys, wanted, wanted * kMostOverWanted, now);
    const double work = cut ? meter_.sum(*cut, now) : 0;
    if (work > best_work) {
      best = cut;
      best_work = work;
    }
  }
  return best ? std::optional<PlannedMove>({*best, to.place}) : std::nullopt;
}

}  // namespace shedlever
