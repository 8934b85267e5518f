#pragma once

/// @file
/// The load on the keys of this node's server: measured here, or by the previous owner for recently gained keys.

#include <cstdint>
#include <vector>

#include "shedlever/time.h"
#include "source/core/router/ownership/gained_keys.h"
#include "source/core/router/ownership/key_meter.h"
#include "source/core/router/ownership/owner_table.h"

namespace shedlever {

/// Counts the requests for each key, and estimates those for keys that were gained too recently to have been counted.
class KeyLoad {
 public:
  KeyLoad();

  /// Counts a request for the key.
  void onRequest(Key key, TimePoint now) { meter_.add(key, 1.0, now); }
  /// The request was refused because the server is full. Its client retries once, so two refused requests count as one.
  void onRequestRefused(Key key, TimePoint now) { meter_.add(key, -kRefusedWeight, now); }

  /// Records ranges that were gained since the last call.
  /// @param owned all ranges of this node's server; also in the other functions.
  void recordGains(const std::vector<OwnedRange>& owned, TimePoint now) { gains_.recordGains(owned, now); }

  /// @return requests per second for all of these ranges, including those expected for gained keys.
  double requestRate(const std::vector<OwnedRange>& owned, TimePoint now) const;

  /// @return measured requests per second for the keys, rounded; never negative.
  std::uint32_t rateOf(const KeyRange& keys, TimePoint now) const;

  /// @return the ranges without those gained less than `age` ago, as the load on their keys is not known yet.
  std::vector<OwnedRange> withoutGains(std::vector<OwnedRange> owned, Duration age, TimePoint now) const;

  /// Divides each of the ranges into at most `parts` consecutive ranges of about equal load.
  std::vector<KeyRange> split(const std::vector<OwnedRange>& ranges, std::size_t parts, TimePoint now) const;

  const KeyMeter& meter() const { return meter_; }

 private:
  static constexpr double kRefusedWeight = 0.5;

  KeyMeter meter_;
  GainedKeys gains_;
};

}  // namespace shedlever
