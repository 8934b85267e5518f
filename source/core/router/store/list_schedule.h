#pragma once

/// @file
/// Schedules list calls for one kind of store objects.

#include <cstdint>

#include "shedlever/time.h"
#include "source/core/router/store/retry_backoff.h"

namespace shedlever {

struct ListIntervals {
  /// Between two lists while a newer object is known to exist. Peers usually send the object before that.
  Duration newer = std::chrono::milliseconds(2500);
  /// Between two lists while nothing is known to be missing.
  Duration idle = std::chrono::seconds(8);
  /// Between two lists while there is no object, or an expected object is missing.
  Duration missing = std::chrono::seconds(1);
  /// Backoff after the first failed list; doubles with each further failure ...
  Duration initial_retry = std::chrono::milliseconds(400);
  /// ... up to this limit. A process must read the store within about 2 s of the end of a network failure.
  Duration max_retry = std::chrono::milliseconds(1600);
};

/// What the reader knows to be missing from its state.
enum class ListNeed : std::uint8_t {
  Nothing,
  Newer,    ///< a newer version of an object is known to exist
  Missing,  ///< an expected object has not been read
};

/// Enforces the intervals between lists, also when many events request one: a failed list is not retried before its
/// backoff has elapsed.
class ListSchedule {
 public:
  explicit ListSchedule(const ListIntervals& intervals)
      : intervals_(intervals), backoff_(intervals.initial_retry, intervals.max_retry) {}

  void onListed(TimePoint now);
  void onFailed(TimePoint now);

  /// @return when the next list is due; in the past when it is overdue.
  TimePoint dueAt(ListNeed need) const;

  /// @return whether the next list must return the latest state: true for the first list and while a newer object is
  ///   known to exist. Other lists may be seconds old, which costs the store less.
  bool mustBeFresh(ListNeed need) const { return !listed_ || need == ListNeed::Newer; }

 private:
  ListIntervals intervals_;
  RetryBackoff backoff_;
  bool listed_ = false;
  TimePoint listed_at_{};
  /// No list is made before this time.
  TimePoint earliest_list_at_{};
};

}  // namespace shedlever
