#include "source/router/quarantine_coordinator.h"

#include <algorithm>
#include <string>
#include <utility>

#include "source/net/system_clock_and_random.h"

namespace shedlever {

namespace {

/// State is kept for minutes, so removing it need not be prompt.
constexpr Duration kExpiryInterval = std::chrono::seconds(1);
/// Limits the size of a node record, at about 50 bytes per request. Requests with the latest end are kept.
constexpr std::size_t kMaxRecordedRequests = 16;

/// Time since the Unix epoch.
using UnixTime = Duration;

UnixTime unixTime() { return UnixTime(static_cast<Duration::rep>(wallClockMicroseconds())); }

std::string textOf(const std::vector<RequestFingerprint>& requests) {
  std::string text;
  for (const RequestFingerprint& request : requests) {
    text += (text.empty() ? "" : ",") + toString(request);
  }
  return text.empty() ? "-" : text;
}

std::string textOf(const std::vector<ServerCrashId>& crashes) {
  std::string text;
  for (const ServerCrashId& crash : crashes) {
    text += (text.empty() ? "" : ",") + crash.instance.value;
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
  const ServerCrashesFrame update = quarantine_.onLocalCrash(id, unanswered, ports_.clock->now());
  if (!update.empty()) {
    ports_.broadcast(update);
  }
  reportChanges("own-server");
}

void QuarantineCoordinator::onServed(const RequestFingerprint& request) {
  const ServerCrashesFrame update = quarantine_.onServed(request, wallClockMicroseconds(), ports_.clock->now());
  if (!update.empty()) {
    ports_.broadcast(update);
    reportChanges("served");
  }
}

void QuarantineCoordinator::onCrashesFrame(const ServerCrashesFrame& received) {
  const ServerCrashesFrame update = quarantine_.merge(received, ports_.clock->now());
  if (!update.empty()) {
    ports_.broadcast(update);
  }
  reportChanges("peer");
}

void QuarantineCoordinator::onRecord(const NodeRecord& record, bool own) {
  if (record.quarantined.empty()) {
    return;
  }
  const TimePoint now = ports_.clock->now();
  const UnixTime unix_now = unixTime();
  for (const QuarantinedRequest& recorded : record.quarantined) {
    const UnixTime until = std::chrono::seconds(recorded.until_s);
    quarantine_.onQuarantineRecord(recorded.request, now + (until - unix_now), own, now);
  }
  reportChanges("record");
}

std::vector<QuarantinedRequest> QuarantineCoordinator::requestsToRecord() const {
  std::vector<CrashQuarantine::Quarantined> selected = quarantine_.quarantined();
  std::erase_if(selected, [](const auto& one) { return !one.in_own_record; });
  std::sort(selected.begin(), selected.end(),
            [](const auto& left, const auto& right) { return left.until > right.until; });
  selected.resize(std::min(selected.size(), kMaxRecordedRequests));
  const TimePoint now = ports_.clock->now();
  const UnixTime unix_now = unixTime();
  std::vector<QuarantinedRequest> recorded;
  for (const CrashQuarantine::Quarantined& one : selected) {
    // Rounded up to whole minutes, so that jitter between the two clocks does not change the record.
    const UnixTime until = unix_now + std::max(one.until - now, Duration::zero());
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
    reportChanges("expired");
  }
}

void QuarantineCoordinator::reportChanges(const char* cause) {
  if (!quarantine_.isActive() && last_quarantined_.empty()) {
    return;
  }
  std::vector<RequestFingerprint> current;
  for (const CrashQuarantine::Quarantined& one : quarantine_.quarantined()) {
    current.push_back(one.request);
    if (!std::binary_search(last_quarantined_.begin(), last_quarantined_.end(), one.request)) {
      ports_.metrics->onEvent("request-quarantined");
      ports_.log->write("quarantine", "begins",
                        {{"fingerprint", toString(one.request)}, {"ends", textOf(one.crashes)}, {"cause", cause}});
    }
  }
  for (const RequestFingerprint& previous : last_quarantined_) {
    if (!std::binary_search(current.begin(), current.end(), previous)) {
      ports_.metrics->onEvent("request-released");
      ports_.log->write("quarantine", "over", {{"fingerprint", toString(previous)}, {"cause", cause}});
    }
  }
  const bool changed = current != last_quarantined_;
  last_quarantined_ = std::move(current);
  if (changed) {
    ports_.on_change();
  }
}

}  // namespace shedlever
