#include "source/core/router/balance_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace shedlever {

namespace {

/// Moves begun at once: each costs its keys a moment without service, and the table a range.
constexpr std::size_t kMostMoves = 4;
/// As above, of an owner that refuses requests since it is asked for more than it has: a run of hot keys with a third
/// of all requests is more than twenty servers can take, and each round takes a second and more.
constexpr std::size_t kMostMovesOverloaded = 24;
/// Slots' worth of work that a server is given where there are too many of them for all to get a part.
constexpr double kUsualPart = 1.5;
/// How far above the average a larger part may bring a server, as a share of its slots: less than what makes it give
/// keys away itself.
constexpr double kMostAboveAverage = 0.12;
/// Share of what is to be given that the parts of all must make up; else some get larger ones.
constexpr double kEnough = 0.3;
/// Slots' worth of work below which a server is not given any.
constexpr double kLeastPart = 0.4;
/// Against division by nothing, before a request has been timed.
constexpr double kLeastServiceSeconds = 1e-6;
/// A move may bring this much more work than wanted.
constexpr double kMostOverWanted = 1.4;
/// A whole range is moved rather than cut if it brings at least so much of the work wanted.
constexpr double kWholeRangeShare = 0.7;

/// What one server is to be given.
struct Part {
  OwnerPlace place;
  /// Requests a second.
  double rate = 0;
  /// Slots that these would keep busy.
  double slots = 0;
};

double meanUtilization(const BalanceView& view) {
  double demand = view.own.demand;
  double slots = view.own.slots;
  for (const BalanceTarget& target : view.targets) {
    demand += target.work.demand;
    slots += target.work.slots;
  }
  return slots > 0 ? demand / slots : 0;
}

double roomOf(const BalanceTarget& target, double average) {
  return std::max(average * target.work.slots - target.work.demand, 0.0);
}

/// What this owner is to give of its excess, in slots: its share of the room below the average.
struct Gift {
  double amount = 0;
  double all_room = 0;
};

Gift giftOf(const BalanceView& view, double average) {
  const double excess = view.own.demand - average * view.own.slots;
  double all_excess = excess;
  Gift gift;
  for (const BalanceTarget& target : view.targets) {
    all_excess += std::max(target.work.demand - average * target.work.slots, 0.0);
    gift.all_room += roomOf(target, average);
  }
  gift.amount = gift.all_room > 0 ? excess * gift.all_room / std::max(gift.all_room, all_excess) : 0;
  return gift;
}

Part partFor(const BalanceView& view, const BalanceTarget& target, double slots) {
  const double seconds = std::max(view.own.service_seconds, target.work.service_seconds);
  return {target.place, slots / std::max(seconds, kLeastServiceSeconds), slots};
}

/// @return a part for each server below the average, in proportion to its room; none where that is too little.
std::vector<Part> partsForAll(const BalanceView& view, double average, const Gift& gift) {
  std::vector<Part> parts;
  for (const BalanceTarget& target : view.targets) {
    const double slots = gift.amount * roomOf(target, average) / gift.all_room;
    if (slots >= kLeastPart) {
      parts.push_back(partFor(view, target, slots));
    }
  }
  return parts;
}

/// @return larger parts for some of the servers below the average. Each is taken as often as its room is a part of all
///   room, from this owner's own offset on, so that all owners together give to each what is its part.
std::vector<Part> partsForSome(const BalanceView& view, double average, const Gift& gift, std::size_t most) {
  std::vector<Part> parts;
  const auto wanted = static_cast<std::size_t>(gift.amount / kUsualPart);
  const std::size_t count = std::clamp<std::size_t>(wanted, 1, most);
  const double step = gift.all_room / static_cast<double>(count);
  double next = step * view.offset;
  double passed = 0;
  for (const BalanceTarget& target : view.targets) {
    const double room = roomOf(target, average);
    passed += room;
    if (room <= 0 || next >= passed) {
      continue;
    }
    const double most_slots = room + kMostAboveAverage * target.work.slots;
    parts.push_back(partFor(view, target, std::min(gift.amount / static_cast<double>(count), most_slots)));
    while (next < passed) {
      next += step;
    }
  }
  return parts;
}

/// @return parts of this owner's excess for those below the average, the largest first.
std::vector<Part> partsOf(const BalanceView& view, double average) {
  const Gift gift = giftOf(view, average);
  if (gift.amount < kLeastPart) {
    return {};
  }
  const std::size_t most = view.own.utilization() > 1.0 ? kMostMovesOverloaded : kMostMoves;
  const auto by_size = [](const Part& left, const Part& right) { return left.rate > right.rate; };
  const auto largest = [&](std::vector<Part> parts) {
    std::stable_sort(parts.begin(), parts.end(), by_size);
    parts.resize(std::min(parts.size(), most));
    return parts;
  };
  std::vector<Part> parts = largest(partsForAll(view, average, gift));
  const double given =
      std::accumulate(parts.begin(), parts.end(), 0.0, [](double sum, const Part& part) { return sum + part.slots; });
  if (given >= kEnough * gift.amount) {
    return parts;
  }
  return largest(partsForSome(view, average, gift, most));
}

/// The keys that an owner still has while it plans one move after the other.
class Remaining {
 public:
  Remaining(const KeyMeter& meter, const std::vector<OwnedRange>& owned, TimePoint now) : meter_(meter), now_(now) {
    for (const OwnedRange& range : owned) {
      spans_.push_back(range.keys);
    }
  }

  /// @return keys that bring about that many requests a second, taken out: a whole range where one fits, else the end
  /// of
  ///   one; none when no part of a range fits.
  std::optional<KeySpan> take(double rate) {
    std::optional<Choice> best;
    for (std::size_t i = 0; i < spans_.size() && spans_.size() > 1; ++i) {
      const double whole = meter_.rate(spans_[i], now_);
      if (whole >= rate * kWholeRangeShare && whole <= rate * kMostOverWanted) {
        consider(best, {i, spans_[i], std::abs(whole - rate)});
      }
    }
    if (!best) {
      considerEnds(best, rate);
    }
    if (best) {
      remove(best->index, best->keys);
    }
    return best ? std::optional<KeySpan>(best->keys) : std::nullopt;
  }

 private:
  struct Choice {
    std::size_t index = 0;
    KeySpan keys;
    /// How far its requests a second are from those wanted.
    double distance = 0;
  };

  static void consider(std::optional<Choice>& best, const Choice& choice) {
    if (!best || choice.distance < best->distance) {
      best = choice;
    }
  }

  void considerEnds(std::optional<Choice>& best, double rate) const {
    const double wanted = rate * meter_.seconds(now_);
    for (std::size_t i = 0; i < spans_.size(); ++i) {
      if (const auto keys = meter_.cut(spans_[i], wanted, wanted * kMostOverWanted, now_)) {
        consider(best, {i, *keys, std::abs(meter_.rate(*keys, now_) - rate)});
      }
    }
  }

  void remove(std::size_t index, const KeySpan& keys) {
    const KeySpan whole = spans_[index];
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
  std::vector<KeySpan> spans_;
};

}  // namespace

std::vector<PlannedMove> BalancePlanner::plan(const BalanceView& view, TimePoint now) const {
  std::vector<PlannedMove> moves;
  const double average = meanUtilization(view);
  const double above = view.own.utilization() - average;
  const bool is_even = view.own.utilization() < config_.busy_occupancy || above < config_.occupancy_gap;
  if (view.targets.empty() || is_even || average > config_.full_occupancy) {
    return moves;
  }
  Remaining remaining(meter_, view.owned, now);
  for (const Part& part : partsOf(view, average)) {
    if (const auto keys = remaining.take(part.rate)) {
      moves.push_back({*keys, part.place});
    }
  }
  return moves;
}

}  // namespace shedlever
