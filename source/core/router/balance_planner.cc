#include "source/core/router/balance_planner.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace shedlever {

namespace {

/// Moves begun at once: each costs its keys a moment without service, and the table a range.
constexpr std::size_t kMaxMovesPerPlan = 4;
/// Slots' worth of work below which a server is not given any.
constexpr double kMinShareSlots = 0.4;
/// Against division by nothing, before a request has been timed.
constexpr double kMinServiceSeconds = 1e-6;
/// A move may bring this much more work than wanted.
constexpr double kMaxRateFactor = 1.4;
/// A whole range is moved rather than cut if it brings at least so much of the work wanted.
constexpr double kWholeRangeShare = 0.7;

/// What one server is to be given.
struct LoadShare {
  OwnerLocation place;
  /// Requests a second.
  double rate = 0;
};

double meanUtilization(const BalanceInput& view) {
  double demand = view.own_load.demand;
  double slots = view.own_load.slots;
  for (const BalanceTarget& target : view.targets) {
    demand += target.load.demand;
    slots += target.load.slots;
  }
  return slots > 0 ? demand / slots : 0;
}

/// @return parts of this owner's excess for those below the average, the largest first.
std::vector<LoadShare> loadShares(const BalanceInput& view, double average) {
  double all_excess = view.own_load.demand - average * view.own_load.slots;
  double all_room = 0;
  for (const BalanceTarget& target : view.targets) {
    const double above = target.load.demand - average * target.load.slots;
    all_excess += std::max(above, 0.0);
    all_room += std::max(-above, 0.0);
  }
  const double excess = view.own_load.demand - average * view.own_load.slots;
  std::vector<LoadShare> parts;
  for (const BalanceTarget& target : view.targets) {
    const double room = average * target.load.slots - target.load.demand;
    const double part = all_room > 0 ? excess * room / std::max(all_room, all_excess) : 0;
    if (room > 0 && part >= kMinShareSlots) {
      const double seconds = std::max(view.own_load.service_seconds, target.load.service_seconds);
      parts.push_back({target.place, part / std::max(seconds, kMinServiceSeconds)});
    }
  }
  std::sort(parts.begin(), parts.end(),
            [](const LoadShare& left, const LoadShare& right) { return left.rate > right.rate; });
  if (parts.size() > kMaxMovesPerPlan) {
    parts.resize(kMaxMovesPerPlan);
  }
  return parts;
}

/// The keys that an owner still has while it plans one move after the other.
class RemainingKeys {
 public:
  RemainingKeys(const KeyMeter& meter, const std::vector<OwnedRange>& owned, TimePoint now) : meter_(meter), now_(now) {
    for (const OwnedRange& range : owned) {
      spans_.push_back(range.keys);
    }
  }

  /// @return keys that bring about that many requests a second, taken out: a whole range where one fits, else the end
  /// of
  ///   one; none when no part of a range fits.
  std::optional<KeyRange> take(double rate) {
    std::optional<Choice> best;
    for (std::size_t i = 0; i < spans_.size() && spans_.size() > 1; ++i) {
      const double whole = meter_.rate(spans_[i], now_);
      if (whole >= rate * kWholeRangeShare && whole <= rate * kMaxRateFactor) {
        consider(best, {i, spans_[i], std::abs(whole - rate)});
      }
    }
    if (!best) {
      considerEnds(best, rate);
    }
    if (best) {
      remove(best->index, best->keys);
    }
    return best ? std::optional<KeyRange>(best->keys) : std::nullopt;
  }

 private:
  struct Choice {
    std::size_t index = 0;
    KeyRange keys;
    /// How far its requests a second are from those wanted.
    double distance = 0;
  };

  static void consider(std::optional<Choice>& best, const Choice& choice) {
    if (!best || choice.distance < best->distance) {
      best = choice;
    }
  }

  void considerEnds(std::optional<Choice>& best, double rate) const {
    const double wanted = rate * meter_.windowSeconds(now_);
    for (std::size_t i = 0; i < spans_.size(); ++i) {
      if (const auto keys = meter_.cutFromEnd(spans_[i], wanted, wanted * kMaxRateFactor, now_)) {
        consider(best, {i, *keys, std::abs(meter_.rate(*keys, now_) - rate)});
      }
    }
  }

  void remove(std::size_t index, const KeyRange& keys) {
    const KeyRange whole = spans_[index];
    if (keys == whole) {
      spans_.erase(spans_.begin() + static_cast<std::ptrdiff_t>(index));
    } else if (keys.first == whole.first) {
      spans_[index].first = static_cast<Key>(keys.last + 1);
    } else {
      spans_[index].last = static_cast<Key>(keys.first - 1);
    }
  }

  const KeyMeter& meter_;
  TimePoint now_;
  std::vector<KeyRange> spans_;
};

}  // namespace

std::vector<PlannedMove> BalancePlanner::plan(const BalanceInput& view, TimePoint now) const {
  std::vector<PlannedMove> moves;
  const double average = meanUtilization(view);
  const double above = view.own_load.utilization() - average;
  if (view.targets.empty() || view.own_load.utilization() < config_.busy_occupancy || above < config_.occupancy_gap) {
    return moves;
  }
  RemainingKeys remaining(meter_, view.owned, now);
  for (const LoadShare& part : loadShares(view, average)) {
    if (const auto keys = remaining.take(part.rate)) {
      moves.push_back({*keys, part.place});
    }
  }
  return moves;
}

}  // namespace shedlever
