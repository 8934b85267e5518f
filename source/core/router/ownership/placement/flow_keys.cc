#include "source/core/router/ownership/placement/flow_keys.h"

#include <algorithm>
#include <numeric>

#include "source/core/router/ownership/remaining_keys.h"

namespace shedlever {

namespace {

/// A hot key moves only to a server whose utilization with it is lower than the owner's present one by at least this.
constexpr double kMinRelief = 0.15;
/// Maximum number of key ranges for a flow; each can add a range to the table.
constexpr int kMaxPiecesPerFlow = 2;
/// A flow is complete with this share of its load; the rest is not worth another piece.
constexpr double kCompleteShare = 0.7;
/// Avoids a division by zero before a request has been timed.
constexpr double kMinServiceSeconds = 1e-6;

/// Chooses keys for one flow after the other.
class KeyChooser {
 public:
  KeyChooser(const KeyMeter& meter, const FlowInput& input, TimePoint now)
      : meter_(meter),
        input_(input),
        now_(now),
        seconds_(std::max(input.own_load.service_seconds, kMinServiceSeconds)),
        remaining_(meter, input.owned, now) {}

  std::vector<PlannedMove> choose() {
    double to_give = std::accumulate(input_.flows.begin(), input_.flows.end(), 0.0,
                                     [](double sum, const KeyFlow& flow) { return sum + flow.slots; });
    to_give -= giveHottestKey(input_.own_load.demand - to_give);
    for (const KeyFlow& flow : input_.flows) {
      // The server that takes the hottest key has no room for others.
      const bool takes_hottest = !moves_.empty() && moves_.front().to == flow.to && gave_hottest_key_;
      if (to_give > 0 && !takes_hottest) {
        to_give -= give(flow.to, std::min(flow.slots, to_give));
      }
    }
    return moves_;
  }

 private:
  double slotsOf(const KeyRange& keys) const { return meter_.rate(keys, now_) * seconds_; }

  /// Moves the hottest key if it alone has more load than the owner is to keep and another server is better for it.
  /// @param kept slots that the owner is to keep.
  /// @return slots of the moved load.
  double giveHottestKey(double kept) {
    const std::optional<Key> key = remaining_.hottest();
    const double slots = key ? slotsOf({*key, *key}) : 0;
    if (slots <= std::max(kept, 0.0)) {
      return 0;
    }
    const BalanceTarget* target = fastestWithRoom(slots);
    if (target == nullptr || !remaining_.takeKey(*key)) {
      return 0;
    }
    moves_.push_back({{*key, *key}, target->location});
    gave_hottest_key_ = true;
    return slots;
  }

  /// @param slots of the load at this owner.
  /// @return the server that runs the load fastest of those that are not full with it and much less utilized than this
  ///   one is; null if there is none.
  const BalanceTarget* fastestWithRoom(double slots) const {
    const double max_utilization = std::min(input_.own_load.utilization() - kMinRelief, 1.0);
    const BalanceTarget* best = nullptr;
    double best_seconds = 0;
    for (const BalanceTarget& target : input_.targets) {
      const OfferedLoad& load = target.load;
      const double seconds = load.service_seconds > 0 ? load.service_seconds : seconds_;
      const bool has_room = target.reported && load.demand + slots * seconds / seconds_ <= max_utilization * load.slots;
      if (has_room && (best == nullptr || seconds < best_seconds)) {
        best = &target;
        best_seconds = seconds;
      }
    }
    return best;
  }

  /// @return slots of the keys that were found for the flow.
  double give(const OwnerLocation& to, double slots) {
    double given = 0;
    for (int piece = 0; piece < kMaxPiecesPerFlow && given < slots * kCompleteShare; ++piece) {
      const auto keys = remaining_.take((slots - given) / seconds_);
      if (!keys) {
        break;
      }
      given += slotsOf(*keys);
      moves_.push_back({*keys, to});
    }
    return given;
  }

  const KeyMeter& meter_;
  const FlowInput& input_;
  TimePoint now_;
  double seconds_;
  RemainingKeys remaining_;
  std::vector<PlannedMove> moves_;
  bool gave_hottest_key_ = false;
};

}  // namespace

std::vector<PlannedMove> chooseKeys(const KeyMeter& meter, const FlowInput& input, TimePoint now) {
  return KeyChooser(meter, input, now).choose();
}

}  // namespace shedlever
