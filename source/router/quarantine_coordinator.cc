#include "source/router/quarantine_coordinator.h"

#include <algorithm>
#include <string>
#include <utility>

#include "source/net/system_sources.h"

namespace shedlever {

namespace {

/// What is remembered lasts for minutes; looking at it is not urgent.
constexpr Duration kExpiryInterval = std::chrono::seconds(1);
/// Names in a record: 16 of 50 bytes each. The last ones count most.
constexpr std::size_t kMaxRecordedRequests = 16;

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

std::string textOf(const std::vector<ServerCrashId>& ends) {
  std::string text;
  for (const ServerCrashId& end : ends) {
    text += (text.empty() ? "" : ",") + end.instance.value;
  }
  return text.empty() ? "-" : text;
}

}  // namespace

QuarantineCoordinator::QuarantineCoordinator(const QuarantineConfig& config, Ports ports)
    : quarantine_(config), ports_(std::move(ports)) {}

void QuarantineCoordinator::onServerCrash(const InstanceId& instance,
                                          const std::vector<RequestFingerprint>& unanswered) {
  ports_.metrics->onEvent("server-ended-at-work");
  ports_.log->write("server", "ended-at-work",
                    {{"instance", instance.value},
                     {"unanswered", std::to_string(unanswered.size())},
                     {"fingerprints", textOf(unanswered)}});
  const ServerCrashId id{instance, wallClockMicroseconds()};
  const ServerCrashesFrame news = quarantine_.onLocalCrash(id, unanswered, ports_.clock->now());
  if (!news.empty()) {
    ports_.broadcast(news);
  }
  reportChanges("own-server");
}

void QuarantineCoordinator::onServed(const RequestFingerprint& request) {
  const ServerCrashesFrame news = quarantine_.onServed(request, wallClockMicroseconds(), ports_.clock->now());
  if (!news.empty()) {
    ports_.broadcast(news);
    reportChanges("served");
  }
}

void QuarantineCoordinator::onCrashesFrame(const ServerCrashesFrame& told) {
  const ServerCrashesFrame news = quarantine_.merge(told, ports_.clock->now());
  if (!news.empty()) {
    ports_.broadcast(news);
  }
  reportChanges("told");
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
  reportChanges("record");
}

std::vector<QuarantinedRequest> QuarantineCoordinator::requestsToRecord() const {
  std::vector<CrashQuarantine::Quarantined> named = quarantine_.quarantined();
  std::erase_if(named, [](const auto& one) { return !one.in_own_record; });
  std::sort(named.begin(), named.end(), [](const auto& left, const auto& right) { return left.until > right.until; });
  named.resize(std::min(named.size(), kMaxRecordedRequests));
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
  if (now < next_expiry_) {
    return;
  }
  next_expiry_ = now + kExpiryInterval;
  if (quarantine_.removeExpired(now)) {
    reportChanges("time-over");
  }
}

void QuarantineCoordinator::reportChanges(const char* cause) {
  if (!quarantine_.isActive() && last_quarantined_.empty()) {
    return;
  }
  std::vector<RequestFingerprint> present;
  for (const CrashQuarantine::Quarantined& one : quarantine_.quarantined()) {
    present.push_back(one.request);
    if (!std::binary_search(last_quarantined_.begin(), last_quarantined_.end(), one.request)) {
      ports_.metrics->onEvent("request-quarantined");
      ports_.log->write("quarantine", "begins",
                        {{"fingerprint", toString(one.request)}, {"ends", textOf(one.crashes)}, {"cause", cause}});
    }
  }
  for (const RequestFingerprint& before : last_quarantined_) {
    if (!std::binary_search(present.begin(), present.end(), before)) {
      ports_.metrics->onEvent("request-released");
      ports_.log->write("quarantine", "over", {{"fingerprint", toString(before)}, {"cause", cause}});
    }
  }
  const bool changed = present != last_quarantined_;
  last_quarantined_ = std::move(present);
  if (changed) {
    ports_.on_change();
  }
}

}  // namespace shedlever
