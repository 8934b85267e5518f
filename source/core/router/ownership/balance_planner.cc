#include "source/core/router/ownership/balance_planner.h"

#include <algorithm>
#include <numeric>

#include "source/core/router/ownership/remaining_keys.h"

namespace shedlever {

namespace {

/// Each move makes its keys unavailable for a moment and can add a range to the table.
constexpr std::size_t kMaxMovesPerPlan = 4;
/// A smaller share of the excess, in slots, is not worth a move.
constexpr double kMinShareSlots = 0.4;
/// A full owner of this many times its even share of the keys moves keys to as many servers as there are.
constexpr double kManySharesOfKeys = 4;
constexpr double kKeyCount = 65536;
/// Avoids a division by zero before a request has been timed.
constexpr double kMinServiceSeconds = 1e-6;

/// Part of the excess that one server is to take.
struct LoadShare {
  OwnerLocation location;
  /// Requests per second.
  double rate = 0;
};

double meanUtilization(const BalanceInput& input) {
  double demand = input.own_load.demand;
  double slots = input.own_load.slots;
  for (const BalanceTarget& target : input.targets) {
    demand += target.load.demand;
    slots += target.load.slots;
  }
  return slots > 0 ? demand / slots : 0;
}

/// Slots that one server can take without rising above the average.
struct TargetRoom {
  const BalanceTarget* target = nullptr;
  double slots = 0;
};

std::vector<TargetRoom> targetsWithRoom(const BalanceInput& input, double average) {
  std::vector<TargetRoom> rooms;
  for (const BalanceTarget& target : input.targets) {
    const double room = average * target.load.slots - target.load.demand;
    if (room > 0) {
      rooms.push_back({&target, room});
    }
  }
  return rooms;
}

double totalRoom(const std::vector<TargetRoom>& rooms) {
  return std::accumulate(rooms.begin(), rooms.end(), 0.0,
                         [](double sum, const TargetRoom& room) { return sum + room.slots; });
}

/// @return slots that all owners above the average are to move away.
double totalExcess(const BalanceInput& input, double average) {
  double excess = input.own_load.demand - average * input.own_load.slots;
  for (const BalanceTarget& target : input.targets) {
    excess += std::max(target.load.demand - average * target.load.slots, 0.0);
  }
  return excess;
}

/// Scales the slots to a sum.
void scaleTo(std::vector<TargetRoom>& rooms, double sum) {
  const double present = totalRoom(rooms);
  for (TargetRoom& room : rooms) {
    room.slots *= sum / present;
  }
}

/// Distributes slots over the targets in proportion to their room. Targets with too small a share get nothing.
std::vector<TargetRoom> proportionalShares(std::vector<TargetRoom> rooms, double slots) {
  scaleTo(rooms, slots);
  std::erase_if(rooms, [](const TargetRoom& share) { return share.slots < kMinShareSlots; });
  return rooms;
}

/// Distributes slots over only as many targets as get a share that is worth moving; later moves reach the others.
/// @param rotation where the targets begin, so that owners choose different ones.
std::vector<TargetRoom> largerShares(std::vector<TargetRoom> rooms, double slots, std::size_t rotation) {
  const auto count = static_cast<std::size_t>(std::max(slots, 0.0) / kMinShareSlots);
  if (rooms.empty() || count == 0) {
    return {};
  }
  std::rotate(rooms.begin(), rooms.begin() + static_cast<std::ptrdiff_t>(rotation % rooms.size()), rooms.end());
  rooms.resize(std::min(rooms.size(), count));
  scaleTo(rooms, slots);
  return rooms;
}

/// An owner that is full because of a few frequently requested keys would gain little by many moves.
/// @return whether the owner can't take all requests and owns many times its even share of the keys, as it does after a
///   division among few servers.
bool isFullAndOwnsMostKeys(const BalanceInput& input) {
  const double keys = std::accumulate(input.owned.begin(), input.owned.end(), 0.0,
                                      [](double sum, const OwnedRange& range) { return sum + range.keys.size(); });
  const double even_share = kKeyCount / static_cast<double>(input.targets.size() + 1);
  return input.own_load.utilization() > 1 && keys >= kManySharesOfKeys * even_share;
}

/// @return the shares of this owner's excess for the servers below the average, largest first.
std::vector<LoadShare> loadShares(const BalanceInput& input, double average) {
  const bool move_to_all = isFullAndOwnsMostKeys(input);
  const std::vector<TargetRoom> rooms = targetsWithRoom(input, average);
  const double excess = input.own_load.demand - average * input.own_load.slots;
  const double movable = excess * std::min(1.0, totalRoom(rooms) / totalExcess(input, average));
  std::vector<TargetRoom> targets = proportionalShares(rooms, movable);
  if (targets.empty() && move_to_all) {
    targets = largerShares(rooms, movable, input.rotation);
  }
  std::vector<LoadShare> shares;
  for (const TargetRoom& share : targets) {
    const double seconds = std::max(input.own_load.service_seconds, share.target->load.service_seconds);
    shares.push_back({share.target->location, share.slots / std::max(seconds, kMinServiceSeconds)});
  }
  std::sort(shares.begin(), shares.end(),
            [](const LoadShare& left, const LoadShare& right) { return left.rate > right.rate; });
  if (!move_to_all && shares.size() > kMaxMovesPerPlan) {
    shares.resize(kMaxMovesPerPlan);
  }
  return shares;
}

}  // namespace

std::vector<PlannedMove> BalancePlanner::plan(const BalanceInput& input, TimePoint now) const {
  std::vector<PlannedMove> moves;
  const double average = meanUtilization(input);
  const double above = input.own_load.utilization() - average;
  if (input.targets.empty() || input.own_load.utilization() < config_.busy_occupancy || above < config_.occupancy_gap) {
    return moves;
  }
  RemainingKeys remaining(meter_, input.owned, now);
  for (const LoadShare& share : loadShares(input, average)) {
    if (const auto keys = remaining.take(share.rate)) {
      moves.push_back({*keys, share.location});
    }
  }
  return moves;
}

}  // namespace shedlever
