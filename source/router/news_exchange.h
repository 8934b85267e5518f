#pragma once

/// @file
/// What processes tell each other of changes in the store: this one follows one process, and others follow it.

#include <functional>

#include "source/core/router/knowledge/news_followers.h"
#include "source/core/router/knowledge/relay_follower.h"
#include "source/core/router/knowledge/relay_order.h"
#include "source/router/cluster_knowledge.h"
#include "source/router/event_log.h"
#include "source/router/peer_links.h"
#include "source/router/router_metrics.h"

namespace shedlever {

/// Without it each process watches the store for itself, and each change costs a call of every one.
class NewsExchange {
 public:
  struct Ports {
    const Clock* clock = nullptr;
    ServerDirectory* directory = nullptr;
    PeerLinks* links = nullptr;
    ClusterKnowledge* knowledge = nullptr;
    EventLog* log = nullptr;
    RouterMetrics* metrics = nullptr;
    /// Sends a frame on a follower's stream.
    std::function<void(FollowerNumber, const NewsFrame&)> send;
  };

  NewsExchange(NodeName self, ZoneName zone, Ports ports);

  /// Every 50 ms or so.
  void tick();

  /// The process that this one follows, or has followed, tells news.
  void onNews(const NodeName& from, const NewsFrame& news);
  /// Another process follows this one from now on.
  void onQuestion(FollowerNumber follower, const NewsQuestionFrame& question);
  void onFollowerGone(FollowerNumber follower) { followers_.onGone(follower); }

  /// @return whether other processes hear of changes from this one.
  bool hasFollowers() const { return !followers_.empty(); }
  std::size_t followers() const { return followers_.size(); }

 private:
  void findPlace(TimePoint now);
  void follow(TimePoint now);
  void setRank(RelayRank rank);
  void tellFollowers(TimePoint now);

  NodeName self_;
  ZoneName zone_;
  Ports ports_;
  RelayPlace place_;
  /// As the knowledge has been told.
  RelayRank rank_ = RelayRank::Source;
  TimePoint next_look_{};
  RelayFollower follower_;
  NewsFollowers followers_;
};

}  // namespace shedlever
