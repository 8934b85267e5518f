#pragma once

/// @file
/// Keys that other owners have given to this node's server of late, and what those saw of them.

#include <vector>

#include "shedlever/time.h"
#include "source/core/router/owner_table.h"

namespace shedlever {

/// An owner sees how often its new keys are asked for only after a while. Until then what their giver saw stands for
/// it.
class GainedKeys {
 public:
  /// @param half_life of the meter that sees the keys' requests: as it sees more, what the giver saw counts less.
  explicit GainedKeys(Duration half_life) : half_life_(half_life) {}

  /// Takes note of ranges that came since the last call.
  /// @param owned all ranges of this node's server.
  void recordGains(const std::vector<OwnedRange>& owned, TimePoint now);

  /// @return whether some of the keys came less than `age` ago.
  bool gainedWithin(Duration age, const KeyRange& keys, TimePoint now) const;

  /// @return requests a second for these keys that the meter can't have seen yet.
  double expectedRate(TimePoint now) const;

 private:
  struct Gain {
    KeyRange keys;
    /// Requests a second that the giver saw.
    double rate = 0;
    TimePoint gained_at{};
  };

  Duration half_life_;
  std::vector<Gain> gains_;
  /// Token of the newest range that was looked at.
  FenceToken newest_token_ = 0;
};

}  // namespace shedlever
