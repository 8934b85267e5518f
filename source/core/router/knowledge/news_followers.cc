#include "source/core/router/knowledge/news_followers.h"

#include <algorithm>

namespace shedlever {

namespace {

/// Between two frames to one follower that tell of node records.
constexpr Duration kNodesPause = std::chrono::milliseconds(200);
/// By how much what is known must have become newer to be told on by itself.
constexpr Duration kFresherBy = std::chrono::milliseconds(200);
/// A follower hears something at least so often; it takes this process for silent after twice that.
constexpr Duration kLongestPause = std::chrono::milliseconds(500);

TimePoint newestAt(const KindNews& news, TimePoint now) { return now - Duration(news.staleness_us); }

}  // namespace

void NewsFollowers::onQuestion(FollowerNumber number, const NewsQuestionFrame& question, TimePoint now) {
  Follower& follower = followers_[number];
  follower = {};
  follower.question = question.number;
  follower.asked_at = now;
  follower.told = question.known;
}

bool NewsFollowers::isDue(const Follower& follower, const KnownNews& known, TimePoint now) {
  const Duration since_told = now - follower.told_at;
  if (follower.told_at == TimePoint{} || since_told >= kLongestPause) {
    return true;
  }
  const bool config_changed = known.config.revision > follower.told_news.config.revision;
  const bool nodes_changed = known.nodes.revision > follower.told_news.nodes.revision;
  const bool fresher = newestAt(known.config, now) - follower.told_newest_at >= kFresherBy;
  return config_changed || (nodes_changed && since_told >= kNodesPause) || fresher;
}

std::vector<NewsFollowers::Due> NewsFollowers::takeDue(const KnownNews& known, TimePoint now) {
  std::vector<Due> due;
  for (auto& [number, follower] : followers_) {
    if (!isDue(follower, known, now)) {
      continue;
    }
    due.push_back({number, follower.question, now - follower.asked_at, follower.told});
    follower.told = {std::max(follower.told.config, known.config.at), std::max(follower.told.nodes, known.nodes.at)};
    follower.told_news = known;
    follower.told_newest_at = newestAt(known.config, now);
    follower.told_at = now;
  }
  return due;
}

}  // namespace shedlever
