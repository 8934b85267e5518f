#pragma once

/// @file
/// Chooses the keys for an owner's moves by the request rates that it measured.

#include <optional>
#include <vector>

#include "source/core/router/ownership/key_meter.h"
#include "source/core/router/ownership/owner_table.h"

namespace shedlever {

/// Keys that an owner still has while its moves are planned one after the other.
class RemainingKeys {
 public:
  /// @param meter must outlive this object.
  RemainingKeys(const KeyMeter& meter, const std::vector<OwnedRange>& owned, TimePoint now);

  /// Removes keys with about the wanted request rate: a whole range if one fits, else the end of a range.
  /// @param rate wanted requests per second.
  /// @return the removed keys; none if no part of a range fits.
  std::optional<KeyRange> take(double rate);

  /// Removes one key. @return false if it does not remain.
  bool takeKey(Key key);

  /// @return the remaining key with the highest request rate; none if nothing remains.
  std::optional<Key> hottest() const;

 private:
  struct Choice {
    std::size_t index = 0;
    KeyRange keys;
    /// Difference between its request rate and the wanted rate.
    double distance = 0;
  };

  static void consider(std::optional<Choice>& best, const Choice& choice);
  void considerEnds(std::optional<Choice>& best, double rate) const;
  /// Removes keys at one end of a range, or all of it.
  void remove(std::size_t index, const KeyRange& keys);

  const KeyMeter& meter_;
  TimePoint now_;
  std::vector<KeyRange> remaining_;
};

}  // namespace shedlever
