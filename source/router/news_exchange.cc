#include "source/router/news_exchange.h"

#include <utility>

#include "source/core/router/duration_text.h"

namespace shedlever {

namespace {

/// Between two looks at all nodes for whom to follow: with hundreds of them a look takes some 0.1 ms.
constexpr Duration kLookInterval = std::chrono::milliseconds(250);

const char* wordOf(RelayRank rank) {
  switch (rank) {
    case RelayRank::Source:
      return "source";
    case RelayRank::Zone:
      return "zone";
    case RelayRank::Follower:
      return "follower";
    case RelayRank::Alone:
      return "alone";
  }
  return "unknown";
}

}  // namespace

NewsExchange::NewsExchange(NodeName self, ZoneName zone, Ports ports)
    : self_(std::move(self)), zone_(std::move(zone)), ports_(std::move(ports)) {}

void NewsExchange::tick() {
  const TimePoint now = ports_.clock->now();
  if (ports_.knowledge->nodesListed()) {
    findPlace(now);
    follow(now);
  }
  tellFollowers(now);
}

void NewsExchange::findPlace(TimePoint now) {
  if (now < next_look_) {
    return;
  }
  next_look_ = now + kLookInterval;
  const auto is_unreachable = [this](const NodeName& node) { return ports_.directory->isUnreachable(node); };
  place_ = relayPlaceOf(self_, zone_, ports_.directory->nodes(), is_unreachable);
}

void NewsExchange::follow(TimePoint now) {
  const NodeName before = follower_.relay();
  const Duration staleness = ports_.knowledge->configStaleness();
  if (const auto question = follower_.tick(place_.relays, place_.others, staleness, now)) {
    ports_.links->tell(question->relay, NewsQuestionFrame{question->number, ports_.knowledge->position()});
  }
  if (follower_.relay() != before) {
    ports_.metrics->onEvent("relay-changed");
    ports_.log->write("relay", "follows",
                      {{"node", follower_.relay().empty() ? "-" : follower_.relay().value},
                       {"before", before.empty() ? "-" : before.value},
                       {"stale_ms", millisecondsText(staleness)}});
    if (!before.empty()) {
      ports_.links->probe(before);
    }
  }
  // The source goes on watching the store while it follows another: that is how it hears first that it can again.
  const bool is_alone = follower_.relay().empty() && !place_.relays.empty();
  setRank(is_alone ? RelayRank::Alone : place_.rank);
  if (follower_.relay().empty()) {
    ports_.knowledge->readConfigNow();
  }
}

void NewsExchange::setRank(RelayRank rank) {
  if (rank == rank_) {
    return;
  }
  ports_.log->write("relay", "rank", {{"now", wordOf(rank)}, {"before", wordOf(rank_)}});
  rank_ = rank;
  ports_.knowledge->setRank(rank);
}

void NewsExchange::tellFollowers(TimePoint now) {
  for (const NewsFollowers::Due& due : followers_.takeDue(ports_.knowledge->news(), now)) {
    NewsFrame frame;
    frame.question = due.question;
    frame.since_question_us = due.since_question.count();
    ports_.knowledge->addNewsAfter(due.told, frame);
    ports_.send(due.follower, frame);
  }
}

void NewsExchange::onNews(const NodeName& from, const NewsFrame& news) {
  const auto told_at = follower_.onNews(from, news.question, Duration(news.since_question_us), ports_.clock->now());
  ports_.knowledge->onNews(news, told_at);
}

void NewsExchange::onQuestion(FollowerNumber follower, const NewsQuestionFrame& question) {
  const TimePoint now = ports_.clock->now();
  followers_.onQuestion(follower, question, now);
  tellFollowers(now);
}

}  // namespace shedlever
