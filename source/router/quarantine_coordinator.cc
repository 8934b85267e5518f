#include "source/router/quarantine_coordinator.h"

#include <algorithm>
#include <string>
#include <utility>

#include "source/net/system_sources.h"

namespace shedlever {

namespace {

/// What is remembered lasts for minutes; looking at it is not urgent.
constexpr Duration kForgettingInterval = std::chrono::seconds(1);
/// Names in a record: 16 of 50 bytes each. The last ones count most.
constexpr std::size_t kMostRecorded = 16;

/// Since 1970.
using TimeOfDay = Duration;

TimeOfDay timeOfDay() { return TimeOfDay(static_cast<Duration::rep>(wallClockMicroseconds())); }

std::string textOf(const std::vector<RequestFingerprint>& requests) {
  std::string text;
  for (const RequestFingerprint& request : requests) {
    text += (text.empty() ? "" : ",") + toString(request);
  }
  return text.empty() ? "-" : text;
}

std::string textOf(const std::vector<ServerEndId>& ends) {
  std::string text;
  for (const ServerEndId& end : ends) {
    text += (text.empty() ? "" : ",") + end.instance.value;
  }
  return text.empty() ? "-" : text;
}

}  // namespace

QuarantineCoordinator::QuarantineCoordinator(const QuarantineConfig& config, Ports ports)
    : quarantine_(config), ports_(std::move(ports)) {}

void QuarantineCoordinator::onServerEnd(const InstanceId& instance, const std::vector<RequestFingerprint>& unanswered) {
  ports_.metrics->onEvent("server-ended-at-work");
  ports_.log->write("server", "ended-at-work",
                    {{"instance", instance.value},
                     {"unanswered", std::to_string(unanswered.size())},
                     {"fingerprints", textOf(unanswered)}});
  const ServerEndId id{instance, wallClockMicroseconds()};
  const ServerEndsFrame news = quarantine_.onLocalCrash(id, unanswered, ports_.clock->now());
  if (!news.empty()) {
    ports_.tell_all(news);
  }
  noteChanges("own-server");
}

void QuarantineCoordinator::onServed(const RequestFingerprint& request) {
  const ServerEndsFrame news = quarantine_.onServed(request, wallClockMicroseconds(), ports_.clock->now());
  if (!news.empty()) {
    ports_.tell_all(news);
    noteChanges("served");
  }
}

void QuarantineCoordinator::onTold(const ServerEndsFrame& told) {
  const ServerEndsFrame news = quarantine_.merge(told, ports_.clock->now());
  if (!news.empty()) {
    ports_.tell_all(news);
  }
  noteChanges("told");
}

void QuarantineCoordinator::onRecord(const NodeRecord& record, bool own) {
  if (record.quarantined.empty()) {
    return;
  }
  const TimePoint now = ports_.clock->now();
  const TimeOfDay day_now = timeOfDay();
  for (const QuarantinedRequest& one : record.quarantined) {
    const TimeOfDay until = std::chrono::seconds(one.until_s);
    quarantine_.onQuarantineRecord(one.request, now + (until - day_now), own, now);
  }
  noteChanges("record");
}

std::vector<QuarantinedRequest> QuarantineCoordinator::toRecord() const {
  std::vector<CrashQuarantine::Quarantined> named = quarantine_.quarantined();
  std::erase_if(named, [](const auto& one) { return !one.in_own_record; });
  std::sort(named.begin(), named.end(), [](const auto& left, const auto& right) { return left.until > right.until; });
  named.resize(std::min(named.size(), kMostRecorded));
  const TimePoint now = ports_.clock->now();
  const TimeOfDay day_now = timeOfDay();
  std::vector<QuarantinedRequest> recorded;
  for (const CrashQuarantine::Quarantined& one : named) {
    // In whole minutes: the two clocks' jitter must not change the record.
    const TimeOfDay until = day_now + std::max(one.until - now, Duration::zero());
    const auto minutes = std::chrono::ceil<std::chrono::minutes>(until);
    recorded.push_back({one.request, static_cast<std::uint64_t>(std::chrono::seconds(minutes).count())});
  }
  return recorded;
}

void QuarantineCoordinator::tick() {
  const TimePoint now = ports_.clock->now();
  if (now < next_forgetting_) {
    return;
  }
  next_forgetting_ = now + kForgettingInterval;
  if (quarantine_.removeExpired(now)) {
    noteChanges("time-over");
  }
}

void QuarantineCoordinator::noteChanges(const char* cause) {
  if (!quarantine_.isActive() && noted_.empty()) {
    return;
  }
  std::vector<RequestFingerprint> present;
  for (const CrashQuarantine::Quarantined& one : quarantine_.quarantined()) {
    present.push_back(one.request);
    if (!std::binary_search(noted_.begin(), noted_.end(), one.request)) {
      ports_.metrics->onEvent("request-quarantined");
      ports_.log->write("quarantine", "begins",
                        {{"fingerprint", toString(one.request)}, {"ends", textOf(one.crashes)}, {"cause", cause}});
    }
  }
  for (const RequestFingerprint& before : noted_) {
    if (!std::binary_search(present.begin(), present.end(), before)) {
      ports_.metrics->onEvent("request-released");
      ports_.log->write("quarantine", "over", {{"fingerprint", toString(before)}, {"cause", cause}});
    }
  }
  const bool changed = present != noted_;
  noted_ = std::move(present);
  if (changed) {
    ports_.on_change();
  }
}

}  // namespace shedlever
