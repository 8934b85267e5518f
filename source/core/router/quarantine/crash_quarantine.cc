#include "source/core/router/quarantine/crash_quarantine.h"

#include <algorithm>
#include <set>
#include <utility>

namespace shedlever {

namespace {

/// Crashes that are enough to quarantine a request if no other request was unanswered at as many.
constexpr std::size_t kSoleSuspectCrashes = 2;
/// About twice the number of servers that crash together in the worst case; 256 crashes of 64 requests take 260 KB.
constexpr std::size_t kMaxCrashes = 256;
/// More than a server has slots (18 to 64).
constexpr std::size_t kMaxUnansweredPerCrash = 128;
/// Limits memory; more requests than servers can crash on.
constexpr std::size_t kMaxSuspects = 8192;
/// Crashes up to this age are sent to newly connected peers even if no request is suspected of two crashes: a second
/// crash mostly follows within seconds of the first.
constexpr Duration kRecentCrashAge = std::chrono::seconds(60);

Duration::rep ageOf(TimePoint at, TimePoint now) { return std::max((now - at).count(), Duration::rep{0}); }

void appendCrashes(std::map<ServerCrashId, ServerCrash>&& crashes, ServerCrashesFrame& message) {
  for (auto& [unused, crash] : crashes) {
    message.crashes.push_back(std::move(crash));
  }
}

}  // namespace

// Messages to and from peers.

ServerCrashesFrame CrashQuarantine::onLocalCrash(const ServerCrashId& id,
                                                 const std::vector<RequestFingerprint>& unanswered, TimePoint now) {
  ServerCrashesFrame message;
  if (unanswered.empty() || !addCrash(id, {now, unanswered, true})) {
    return message;
  }
  std::map<ServerCrashId, ServerCrash> crashes;
  crashes[id] = toMessage(*crashes_.find(id), now);
  for (const RequestFingerprint& request : unanswered) {
    if (countedCrashes(request) >= kSoleSuspectCrashes) {
      collectCrashes(request, now, crashes);
    }
  }
  appendCrashes(std::move(crashes), message);
  return message;
}

ServerCrashesFrame CrashQuarantine::merge(const ServerCrashesFrame& received, TimePoint now) {
  ServerCrashesFrame message;
  std::map<ServerCrashId, ServerCrash> forwarded;
  for (const ServerCrash& crash : received.crashes) {
    const TimePoint at = now - Duration(crash.age_us);
    if (now - at > config_.duration || !addCrash(crash.id, {at, crash.unanswered, false})) {
      continue;
    }
    for (const RequestFingerprint& request : crash.unanswered) {
      const auto suspect = suspects_.find(request);
      if (suspect == suspects_.end()) {
        continue;
      }
      if (countedCrashes(suspect->second) >= kSoleSuspectCrashes) {
        collectCrashes(request, now, forwarded);
      } else if (suspect->second.served_at != TimePoint{} && suspect->second.crashes.size() >= kSoleSuspectCrashes) {
        // Peers may still count the crashes from before the request was served.
        message.served.push_back(servedOf(request, suspect->second, now));
      }
    }
  }
  appendCrashes(std::move(forwarded), message);
  // Processed after the crashes, because only a suspect can be cleared.
  for (const ServedSuspect& served : received.served) {
    if (recordServed(served, now)) {
      message.served.push_back(served);
    }
  }
  return message;
}

ServerCrashesFrame CrashQuarantine::onServed(const RequestFingerprint& request, std::uint64_t seen_at_us,
                                             TimePoint now) {
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) {
    return {};
  }
  const bool peers_may_count_crashes =
      countedCrashes(found->second) >= kSoleSuspectCrashes || found->second.isQuarantined();
  // Wall clocks of machines differ: a later event must also have a later time.
  const ServedSuspect served{request, std::max(seen_at_us, found->second.served_at_unix_us + 1), 0};
  recordServed(served, now);
  return peers_may_count_crashes ? ServerCrashesFrame{{}, {served}} : ServerCrashesFrame{};
}

ServerCrashesFrame CrashQuarantine::summary(TimePoint now) const {
  std::map<ServerCrashId, ServerCrash> crashes;
  ServerCrashesFrame message;
  for (const auto& crash : crashes_) {
    if (now - crash.second.at <= kRecentCrashAge) {
      crashes.emplace(crash.first, toMessage(crash, now));
    }
  }
  for (const auto& [request, suspect] : suspects_) {
    if (countedCrashes(suspect) >= kSoleSuspectCrashes) {
      collectCrashes(request, now, crashes);
    }
    if (suspect.served_at != TimePoint{} && !suspect.crashes.empty()) {
      message.served.push_back(servedOf(request, suspect, now));
    }
  }
  appendCrashes(std::move(crashes), message);
  return message;
}

void CrashQuarantine::collectCrashes(const RequestFingerprint& request, TimePoint now,
                                     std::map<ServerCrashId, ServerCrash>& found) const {
  for (const ServerCrashId& id : suspects_.at(request).crashes) {
    found.try_emplace(id, toMessage(*crashes_.find(id), now));
  }
}

ServerCrash CrashQuarantine::toMessage(const Crashes::value_type& crash, TimePoint now) const {
  return {crash.first, ageOf(crash.second.at, now), crash.second.unanswered};
}

// Known crashes and suspects.

bool CrashQuarantine::addCrash(const ServerCrashId& id, Crash crash) {
  if (crashes_.contains(id)) {
    return false;
  }
  // A request that is listed twice for one crash must count only once.
  std::sort(crash.unanswered.begin(), crash.unanswered.end());
  crash.unanswered.erase(std::unique(crash.unanswered.begin(), crash.unanswered.end()), crash.unanswered.end());
  if (crash.unanswered.size() > kMaxUnansweredPerCrash) {
    crash.unanswered.resize(kMaxUnansweredPerCrash);
  }
  if (crashes_.size() >= kMaxCrashes) {
    dropCrash(std::min_element(crashes_.begin(), crashes_.end(),
                               [](const auto& left, const auto& right) { return left.second.at < right.second.at; }));
  }
  const Crash& added = crashes_.emplace(id, std::move(crash)).first->second;
  std::vector<RequestFingerprint> repeated;
  for (const RequestFingerprint& request : added.unanswered) {
    if (suspects_.size() >= kMaxSuspects && !suspects_.contains(request)) {
      continue;
    }
    Suspect& suspect = suspects_[request];
    suspect.crashes.push_back(id);
    suspect.in_own_record = suspect.in_own_record || added.is_local;
    if (suspect.crashes.size() >= kSoleSuspectCrashes) {
      repeated.push_back(request);
    }
  }
  // The first crash of a request cannot change any quarantine.
  for (const RequestFingerprint& request : repeated) {
    reevaluateAffected(request);
  }
  return true;
}

void CrashQuarantine::dropCrash(Crashes::iterator crash) {
  for (const RequestFingerprint& request : crash->second.unanswered) {
    const auto suspect = suspects_.find(request);
    if (suspect == suspects_.end()) {
      continue;
    }
    std::erase(suspect->second.crashes, crash->first);
    if (suspect->second.crashes.empty()) {
      setQuarantineEnd(suspect->second, {}, suspect->second.recorded_until);
    }
    if (suspect->second.crashes.empty() && !suspect->second.isQuarantined()) {
      suspects_.erase(suspect);
    }
  }
  crashes_.erase(crash);
}

ServedSuspect CrashQuarantine::servedOf(const RequestFingerprint& request, const Suspect& suspect, TimePoint now) {
  return {request, suspect.served_at_unix_us, ageOf(suspect.served_at, now)};
}

bool CrashQuarantine::recordServed(const ServedSuspect& served, TimePoint now) {
  const auto found = suspects_.find(served.request);
  if (found == suspects_.end() || served.seen_at_us <= found->second.served_at_unix_us) {
    return false;
  }
  Suspect& suspect = found->second;
  const TimePoint at = now - Duration(served.age_us);
  suspect.served_at_unix_us = served.seen_at_us;
  suspect.served_at = at;
  const bool recorded_later = suspect.recorded_until - config_.duration > at;
  setQuarantineEnd(suspect, suspect.proved_until, recorded_later ? suspect.recorded_until : TimePoint{});
  // The remaining crashes may still be enough, and another request may have become the sole suspect.
  reevaluateAffected(served.request);
  return true;
}

std::size_t CrashQuarantine::countedCrashes(const Suspect& suspect) const {
  const auto counts = [this, &suspect](const ServerCrashId& id) { return crashes_.at(id).at > suspect.served_at; };
  return static_cast<std::size_t>(std::count_if(suspect.crashes.begin(), suspect.crashes.end(), counts));
}

std::size_t CrashQuarantine::countedCrashes(const RequestFingerprint& request) const {
  const auto found = suspects_.find(request);
  return found == suspects_.end() ? 0 : countedCrashes(found->second);
}

std::size_t CrashQuarantine::countedCrashesAt(const RequestFingerprint& request, TimePoint time) const {
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) {
    return 0;
  }
  const Suspect& suspect = found->second;
  const auto counts = [this, &suspect, time](const ServerCrashId& id) {
    const TimePoint at = crashes_.at(id).at;
    return at > suspect.served_at && at <= time;
  };
  return static_cast<std::size_t>(std::count_if(suspect.crashes.begin(), suspect.crashes.end(), counts));
}

bool CrashQuarantine::implicates(const Crash& crash, const RequestFingerprint& request) const {
  const std::size_t count = countedCrashesAt(request, crash.at);
  if (count >= config_.crash_threshold) {
    return true;
  }
  const auto is_rival = [this, &crash, &request](const RequestFingerprint& other) {
    return other != request && countedCrashesAt(other, crash.at) >= kSoleSuspectCrashes;
  };
  return count >= kSoleSuspectCrashes && std::none_of(crash.unanswered.begin(), crash.unanswered.end(), is_rival);
}

void CrashQuarantine::reevaluate(const RequestFingerprint& request, Suspect& suspect) {
  bool proved = false;
  TimePoint last{};
  for (const ServerCrashId& id : suspect.crashes) {
    const Crash& crash = crashes_.at(id);
    if (crash.at > suspect.served_at) {
      last = std::max(last, crash.at);
      proved = proved || implicates(crash, request);
    }
  }
  setQuarantineEnd(suspect, proved ? last + config_.duration : TimePoint{}, suspect.recorded_until);
}

void CrashQuarantine::reevaluateAffected(const RequestFingerprint& request) {
  std::set<RequestFingerprint> affected;
  for (const ServerCrashId& id : suspects_.at(request).crashes) {
    const Crash& crash = crashes_.at(id);
    affected.insert(crash.unanswered.begin(), crash.unanswered.end());
  }
  for (const RequestFingerprint& affected_request : affected) {
    const auto found = suspects_.find(affected_request);
    if (found != suspects_.end()) {
      reevaluate(affected_request, found->second);
    }
  }
}

void CrashQuarantine::setQuarantineEnd(Suspect& suspect, TimePoint proved, TimePoint recorded) {
  quarantined_count_ -= suspect.isQuarantined() ? 1 : 0;
  suspect.proved_until = proved;
  suspect.recorded_until = recorded;
  quarantined_count_ += suspect.isQuarantined() ? 1 : 0;
}

void CrashQuarantine::onQuarantineRecord(const RequestFingerprint& request, TimePoint until, bool own_record,
                                         TimePoint now) {
  const TimePoint limited_until = std::min(until, now + config_.duration);
  if (limited_until <= now || (suspects_.size() >= kMaxSuspects && !suspects_.contains(request))) {
    return;
  }
  Suspect& suspect = suspects_[request];
  // The record may have been written before the request was served.
  if (suspect.served_at != TimePoint{} && until - config_.duration <= suspect.served_at) {
    return;
  }
  suspect.in_own_record = suspect.in_own_record || own_record;
  setQuarantineEnd(suspect, suspect.proved_until, std::max(suspect.recorded_until, limited_until));
}

std::optional<Duration> CrashQuarantine::remainingTime(const RequestFingerprint& request, TimePoint now) const {
  const auto found = suspects_.find(request);
  if (found == suspects_.end() || found->second.quarantinedUntil() <= now) {
    return std::nullopt;
  }
  return found->second.quarantinedUntil() - now;
}

std::vector<CrashQuarantine::Quarantined> CrashQuarantine::quarantined() const {
  std::vector<Quarantined> entries;
  for (const auto& [request, suspect] : suspects_) {
    if (!suspect.isQuarantined()) {
      continue;
    }
    Quarantined& entry =
        entries.emplace_back(Quarantined{request, suspect.quarantinedUntil(), {}, suspect.in_own_record});
    std::copy_if(
        suspect.crashes.begin(), suspect.crashes.end(), std::back_inserter(entry.crashes),
        [this, &suspect = suspect](const ServerCrashId& id) { return crashes_.at(id).at > suspect.served_at; });
    std::sort(entry.crashes.begin(), entry.crashes.end(),
              [this](const ServerCrashId& left, const ServerCrashId& right) {
                return crashes_.at(left).at < crashes_.at(right).at;
              });
  }
  std::sort(entries.begin(), entries.end(),
            [](const auto& left, const auto& right) { return left.request < right.request; });
  return entries;
}

bool CrashQuarantine::removeExpired(TimePoint now) {
  const std::size_t before = quarantined_count_;
  for (auto crash = crashes_.begin(); crash != crashes_.end();) {
    const auto next = std::next(crash);
    if (now - crash->second.at > config_.duration) {
      dropCrash(crash);
    }
    crash = next;
  }
  for (auto suspect = suspects_.begin(); suspect != suspects_.end();) {
    if (suspect->second.quarantinedUntil() <= now) {
      setQuarantineEnd(suspect->second, {}, {});
    }
    const bool over = suspect->second.crashes.empty() && !suspect->second.isQuarantined();
    suspect = over ? suspects_.erase(suspect) : std::next(suspect);
  }
  return quarantined_count_ < before;
}

}  // namespace shedlever
