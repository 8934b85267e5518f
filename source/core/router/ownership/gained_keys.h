#pragma once

/// @file
/// Keys that this node's server has recently gained from other owners, with the request rates those owners measured.

#include <vector>

#include "shedlever/time.h"
#include "source/core/router/ownership/owner_table.h"

namespace shedlever {

/// A new owner needs time to measure the request rate of its keys. Until then the rate that the previous owner measured
/// is used.
class GainedKeys {
 public:
  /// @param half_life of the meter that counts requests for the keys; the previous owner's rate decays at the same
  ///   pace.
  explicit GainedKeys(Duration half_life) : half_life_(half_life) {}

  /// Records ranges that were gained since the last call.
  /// @param owned all ranges of this node's server.
  void recordGains(const std::vector<OwnedRange>& owned, TimePoint now);

  /// @return whether any of the keys was gained less than `age` ago.
  bool gainedWithin(Duration age, const KeyRange& keys, TimePoint now) const;

  /// @return requests per second for gained keys that the meter has not had time to measure.
  double expectedRate(TimePoint now) const;

 private:
  struct Gain {
    KeyRange keys;
    /// Requests per second measured by the previous owner.
    double rate = 0;
    TimePoint gained_at{};
  };

  Duration half_life_;
  std::vector<Gain> gains_;
  /// Highest token of all recorded ranges.
  FenceToken newest_token_ = 0;
};

}  // namespace shedlever
