#pragma once

/// @file
/// The processes that hear of changes in the store from this one, and what each has been told.

#include <cstdint>
#include <map>
#include <vector>

#include "shedlever/router_frames.h"
#include "shedlever/time.h"

namespace shedlever {

/// Names a follower: its stream.
using FollowerNumber = std::uint64_t;

/// How new what this process knows is.
struct KnownNews {
  KindNews config;
  KindNews nodes;
};

/// Says who is to be told now. Changes of the configuration go out at once; node records, of which hundreds change
/// together when machines start, a few times a second; and twice a second each hears at least how new all is.
class NewsFollowers {
 public:
  /// A follower asks, for the first time or again.
  void onQuestion(FollowerNumber follower, const NewsQuestionFrame& question, TimePoint now);
  /// Its stream has ended.
  void onGone(FollowerNumber follower) { followers_.erase(follower); }

  struct Due {
    FollowerNumber follower = 0;
    /// The follower's last question, and how long ago it was read.
    std::uint64_t question = 0;
    Duration since_question{};
    /// Up to where it has been told all.
    NewsPosition told;
  };

  /// @return who is to be told, as of now; counts as told.
  std::vector<Due> takeDue(const KnownNews& known, TimePoint now);

  bool empty() const { return followers_.empty(); }
  std::size_t size() const { return followers_.size(); }

 private:
  struct Follower {
    std::uint64_t question = 0;
    TimePoint asked_at{};
    NewsPosition told;
    /// Newest revisions of objects that it was told of.
    KnownNews told_news;
    /// When what it was told last of the configuration was the newest.
    TimePoint told_newest_at{};
    /// Zero: nothing yet since its last question.
    TimePoint told_at{};
  };

  static bool isDue(const Follower& follower, const KnownNews& known, TimePoint now);

  std::map<FollowerNumber, Follower> followers_;
};

}  // namespace shedlever
