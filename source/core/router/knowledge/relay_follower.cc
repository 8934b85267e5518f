#include "source/core/router/knowledge/relay_follower.h"

#include <algorithm>

namespace shedlever {

namespace {

/// A relay tells something twice a second: one that says nothing for so long is silent ...
constexpr Duration kSilenceLimit = std::chrono::milliseconds(1000);
/// ... and is left alone for so long, about as long as a machine takes to come back.
constexpr Duration kSilentPause = std::chrono::seconds(3);
/// What the processes before this one ask the store keeps news younger than this; a relay that leaves them older has no
/// way to the store.
constexpr Duration kStaleLimit = std::chrono::milliseconds(1000);
constexpr Duration kStalePause = std::chrono::seconds(2);
/// The clocks of two machines run apart by up to 2%: over this time by a tenth of a second.
constexpr Duration kQuestionInterval = std::chrono::seconds(5);
/// By which a relay's count of time is cut, for that drift.
constexpr std::int64_t kDriftPercent = 2;
constexpr std::int64_t kPercent = 100;

}  // namespace

RelayQuestion RelayFollower::ask(TimePoint now) {
  asked_at_ = now;
  return {relay_, ++last_question_};
}

void RelayFollower::judge(Duration staleness, TimePoint now) {
  if (relay_.empty()) {
    return;
  }
  if (now - std::max(followed_since_, heard_at_) > kSilenceLimit) {
    passed_over_[relay_] = {Fault::Silent, now + kSilentPause};
  } else if (staleness > kStaleLimit && now - followed_since_ > kStaleLimit) {
    passed_over_[relay_] = {Fault::Stale, now + kStalePause};
  }
}

NodeName RelayFollower::best(const std::vector<NodeName>& relays, TimePoint now) const {
  NodeName stale;
  for (const NodeName& relay : relays) {
    const auto found = passed_over_.find(relay);
    if (found == passed_over_.end() || now >= found->second.until) {
      return relay;
    }
    // Better than none: what it hears it tells on.
    if (found->second.fault == Fault::Stale && stale.empty()) {
      stale = relay;
    }
  }
  return stale;
}

std::optional<RelayQuestion> RelayFollower::tick(const std::vector<NodeName>& relays, Duration staleness,
                                                 TimePoint now) {
  judge(staleness, now);
  const NodeName next = best(relays, now);
  if (next != relay_) {
    relay_ = next;
    followed_since_ = now;
    heard_at_ = {};
    return relay_.empty() ? std::nullopt : std::optional(ask(now));
  }
  if (relay_.empty() || now - asked_at_ < kQuestionInterval) {
    return std::nullopt;
  }
  return ask(now);
}

std::optional<TimePoint> RelayFollower::onNews(const NodeName& relay, std::uint64_t question, Duration since_question,
                                               TimePoint now) {
  if (relay != relay_) {
    return std::nullopt;
  }
  heard_at_ = now;
  if (question != last_question_) {
    return std::nullopt;
  }
  const Duration at_least = since_question * (kPercent - kDriftPercent) / kPercent;
  return std::min(asked_at_ + at_least, now);
}

}  // namespace shedlever
