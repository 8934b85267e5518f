#pragma once

/// @file
/// When a kind of objects is to be listed again.

#include <cstdint>

#include "shedlever/time.h"
#include "source/core/router/retry_backoff.h"

namespace shedlever {

struct ListIntervals {
  /// Between two lists while a newer object is known to exist. Most are told by another process before that.
  Duration newer = std::chrono::milliseconds(2500);
  /// Between two lists while nothing is known to be missing.
  Duration idle = std::chrono::seconds(8);
  /// Between two lists while there is no object at all, or one that should be there is missing.
  Duration missing = std::chrono::seconds(1);
  /// After a list without an answer; doubles with each ...
  Duration initial_retry = std::chrono::milliseconds(400);
  /// ... up to this. After a path to the store is whole again a process has some 2 s to read it.
  Duration max_retry = std::chrono::milliseconds(1600);
};

/// What the reader knows to be lacking.
enum class ListNeed : std::uint8_t {
  Nothing,
  Newer,    ///< a newer version of an object exists
  Missing,  ///< an object that should be there has not been read
};

/// Keeps the times between lists, also when many events ask for one: a list that failed is not made again before its
/// backoff is over.
class ListSchedule {
 public:
  explicit ListSchedule(const ListIntervals& intervals)
      : intervals_(intervals), backoff_(intervals.initial_retry, intervals.max_retry) {}

  void onListed(TimePoint now);
  void onFailed(TimePoint now);

  /// @return when the next list is due; in the past when it is overdue.
  TimePoint dueAt(ListNeed need) const;

  /// @return whether the next list must tell the newest state: the first one, and one that looks for what is known to
  ///   exist. Others may be seconds old, which costs less.
  bool mustBeFresh(ListNeed need) const { return !listed_ || need == ListNeed::Newer; }

 private:
  ListIntervals intervals_;
  RetryBackoff backoff_;
  bool listed_ = false;
  TimePoint listed_at_{};
  /// No list is made before.
  TimePoint earliest_list_at_{};
};

}  // namespace shedlever
