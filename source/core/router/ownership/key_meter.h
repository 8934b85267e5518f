#pragma once

/// @file
/// Measures the load on each key, weighting recent load more.

#include <optional>
#include <vector>

#include "shedlever/time.h"
#include "source/core/router/ownership/owner_table.h"

namespace shedlever {

/// Exponentially decaying sum of the load on each key.
class KeyMeter {
 public:
  /// @param half_life time after which load counts half.
  explicit KeyMeter(Duration half_life) : half_life_(half_life), load_(kKeyCount, 0.0F) {}

  /// @param amount of load, in any unit.
  void add(Key key, double amount, TimePoint now);

  /// @return decayed load on the keys.
  double sum(const KeyRange& keys, TimePoint now) const;

  /// @return load on the keys per second.
  double rate(const KeyRange& keys, TimePoint now) const { return sum(keys, now) / windowSeconds(now); }

  /// @return the effective averaging window: at a steady rate the decayed sum is the rate times this. Shorter while the
  ///   meter is new.
  double windowSeconds(TimePoint now) const;

  /// @return the key of the range with the highest load; the first of several.
  Key hottest(const KeyRange& range) const;

  /// Divides the range into at most `parts` consecutive ranges of about equal load.
  std::vector<KeyRange> split(const KeyRange& range, std::size_t parts, TimePoint now) const;

  /// Finds keys at one end of the range with about the wanted load: never the whole range, and never more load than
  /// `max_load`.
  /// @return none if no end fits, as for a range of one key or if a single key exceeds `max_load`.
  std::optional<KeyRange> cutFromEnd(const KeyRange& range, double wanted, double max_load, TimePoint now) const;

 private:
  double scaleAt(TimePoint now) const;

  Duration half_life_;
  /// Load is stored as if added at `reference_`; newer load is scaled up instead of scaling all older load down.
  TimePoint reference_{};
  /// Time of the first recorded load.
  TimePoint since_{};
  std::vector<float> load_;
};

}  // namespace shedlever
