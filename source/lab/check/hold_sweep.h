#pragma once

/// @file
/// Applies the events of all servers' logs in their order, and finds which instances held which keys when.

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "source/lab/check/hold_checker.h"

namespace shedlever::check {

/// A time in which two instances held the keys of one segment.
struct HoldOverlap {
  int first = 0;
  int last = 0;
  std::int64_t from = 0;
  std::int64_t to = 0;
  /// Tokens when the overlap began, of the instance with the lower and the higher index.
  std::uint64_t token_low = 0;
  std::uint64_t token_high = 0;
};

/// Divides the keys into segments at the bounds of all ranges in the events, so that each event concerns whole
/// segments.
class HoldSweep {
 public:
  using Pair = std::pair<std::size_t, std::size_t>;

  /// @param names of the instances, for messages.
  explicit HoldSweep(std::vector<std::string> names);

  /// Applies the events, which must be in their order, and closes all holds at the last event.
  void run(const std::vector<HoldEvent>& events);

  /// @return one message for each token with which an instance took keys and which is not above those of other
  ///   instances, and for each grant of a key on which another instance was at work.
  const std::vector<std::string>& messages() const { return messages_; }

  /// @return by pair of instances, lower index first, the times in which both held keys, ordered by start.
  std::map<Pair, std::vector<HoldOverlap>> overlaps() const;

  /// @return the key and time of each request that the instance began, ordered by time.
  const std::vector<std::pair<std::int64_t, int>>& begun(std::size_t instance) const { return begun_[instance]; }

 private:
  struct TokenOwner {
    std::uint64_t token = 0;
    std::size_t instance = 0;
  };
  struct Segment {
    int first = 0;
    int last = 0;
    std::vector<KeyHold> open;
    std::vector<KeyHold> closed;
    /// The highest token and the highest one of any other instance; token 0 for none.
    TokenOwner highest;
    TokenOwner second;
  };

  void makeSegments(const std::vector<HoldEvent>& events);
  std::pair<std::size_t, std::size_t> segmentsOf(const HoldEvent& event) const;
  void apply(const HoldEvent& event);
  void take(const HoldEvent& event);
  void release(const HoldEvent& event);
  void endWork(const HoldEvent& event);
  void end(const HoldEvent& event);
  void checkToken(const HoldEvent& event);
  /// @param reported instances that this event was already reported for.
  void checkWork(const HoldEvent& event, const Segment& segment, std::set<std::size_t>& reported);
  /// @return whether the instance did not hold the segment's keys before.
  static bool extend(const HoldEvent& event, Segment& segment);
  static void closeExpired(Segment& segment, std::int64_t now);
  static void noteToken(const HoldEvent& event, Segment& segment);
  static const TokenOwner& highestOfOthers(const Segment& segment, std::size_t instance);
  void addOverlaps(const Segment& segment, std::map<Pair, std::vector<HoldOverlap>>& overlaps) const;

  std::vector<std::string> names_;
  std::vector<Segment> segments_;
  /// Index of the segment by its first key.
  std::map<int, std::size_t> segment_at_;
  /// By instance: number of requests being executed for each key.
  std::vector<std::map<int, int>> running_;
  std::vector<std::vector<std::pair<std::int64_t, int>>> begun_;
  std::vector<bool> ended_;
  std::set<std::tuple<std::size_t, std::uint64_t, std::size_t, std::uint64_t>> reported_tokens_;
  std::vector<std::string> messages_;
};

}  // namespace shedlever::check
