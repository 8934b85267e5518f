#pragma once

/// @file
/// How much of a server's work each key brings, with older work counting less.

#include <optional>
#include <vector>

#include "shedlever/time.h"
#include "source/core/router/owner_table.h"

namespace shedlever {

/// Exponentially decayed sum of work a key.
class KeyMeter {
 public:
  /// @param half_life after which work counts half.
  explicit KeyMeter(Duration half_life) : half_life_(half_life), work_(kKeyCount, 0.0F) {}

  /// @param amount of work, in any unit.
  void add(Key key, double amount, TimePoint now);

  /// @return decayed work of the keys.
  double sum(const KeyRange& keys, TimePoint now) const;

  /// @return work of the keys a second.
  double rate(const KeyRange& keys, TimePoint now) const { return sum(keys, now) / windowSeconds(now); }

  /// @return time that decayed sums stand for: their amount at a steady rate is the rate times this. Shorter while the
  ///   meter is young.
  double windowSeconds(TimePoint now) const;

  /// Divides the range into at most `parts` runs that bring about the same work each.
  std::vector<KeyRange> split(const KeyRange& range, std::size_t parts, TimePoint now) const;

  /// Finds keys at either end of the range that bring about so much work: never the whole range unless it is one key,
  /// and never more than `most`.
  /// @return none when no end fits, as with one key that brings more than `most`.
  std::optional<KeyRange> cutFromEnd(const KeyRange& range, double wanted, double most, TimePoint now) const;

 private:
  double scaleAt(TimePoint now) const;

  Duration half_life_;
  /// Work is kept as if done at `reference_`; newer work is scaled up instead of scaling all old work down.
  TimePoint reference_{};
  /// When the first work was noted.
  TimePoint since_{};
  std::vector<float> work_;
};

}  // namespace shedlever
