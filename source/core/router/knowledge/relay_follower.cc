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
constexpr Duration kStalePause = std::chrono::seconds(3);
/// A relay that is asked tells what it knows within that, two zones away and on a busy machine.
constexpr Duration kAnswerTime = std::chrono::milliseconds(250);
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
  } else if (staleness > kStaleLimit && now - followed_since_ > kAnswerTime) {
    passed_over_[relay_] = {Fault::Stale, now + kStalePause};
  }
}

bool RelayFollower::isPassedOver(const NodeName& relay, TimePoint now) const {
  const auto found = passed_over_.find(relay);
  return found != passed_over_.end() && now < found->second.until;
}

NodeName RelayFollower::best(const std::vector<NodeName>& relays, const std::vector<NodeName>& others,
                             Duration staleness, TimePoint now) const {
  for (const NodeName& relay : relays) {
    if (!isPassedOver(relay, now)) {
      return relay;
    }
  }
  const bool keeps_other = std::find(others.begin(), others.end(), relay_) != others.end();
  if (keeps_other && !isPassedOver(relay_, now)) {
    return relay_;
  }
  if (staleness > kStaleLimit) {
    for (const NodeName& other : others) {
      if (!isPassedOver(other, now)) {
        return other;
      }
    }
  }
  // One whose news are old is better than none: what it hears it tells on.
  for (const NodeName& relay : relays) {
    if (passed_over_.at(relay).fault == Fault::Stale) {
      return relay;
    }
  }
  return {};
}

std::optional<RelayQuestion> RelayFollower::tick(const std::vector<NodeName>& relays,
                                                 const std::vector<NodeName>& others, Duration staleness,
                                                 TimePoint now) {
  judge(staleness, now);
  const NodeName next = best(relays, others, staleness, now);
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
