#include "source/core/router/quarantine/crash_quarantine.h"

#include <algorithm>
#include <set>
#include <utility>

namespace shedlever {

namespace {

/// Ends that point at one request where it is the only one that they point at.
constexpr std::size_t kSoleSuspectCrashes = 2;
/// Of a service's servers at a time some hundred end at worst; 256 ends of 64 requests are 260 KB.
constexpr std::size_t kMaxCrashes = 256;
/// More than the slots of a server in use today (18 to 64).
constexpr std::size_t kMaxUnansweredPerCrash = 128;
/// Requests known by records alone, or served since: more than servers can end for.
constexpr std::size_t kMaxSuspects = 8192;
/// Told to each process that is reached, though nothing points at one request yet: the second end mostly follows
/// within seconds of the first.
constexpr Duration kRecentCrashAge = std::chrono::seconds(60);

Duration::rep ageOf(TimePoint at, TimePoint now) { return std::max((now - at).count(), Duration::rep{0}); }

void appendCrashes(std::map<ServerCrashId, ServerCrash>&& ends, ServerCrashesFrame& news) {
  for (auto& [unused, crash] : ends) {
    news.crashes.push_back(std::move(crash));
  }
}

}  // namespace

// News.

ServerCrashesFrame CrashQuarantine::onLocalCrash(const ServerCrashId& id,
                                                 const std::vector<RequestFingerprint>& unanswered, TimePoint now) {
  ServerCrashesFrame news;
  if (unanswered.empty() || !addCrash(id, {now, unanswered, true})) {
    return news;
  }
  std::map<ServerCrashId, ServerCrash> told;
  told[id] = toMessage(*crashes_.find(id), now);
  for (const RequestFingerprint& request : unanswered) {
    if (countedCrashes(request) >= kSoleSuspectCrashes) {
      collectCrashes(request, now, told);
    }
  }
  appendCrashes(std::move(told), news);
  return news;
}

ServerCrashesFrame CrashQuarantine::merge(const ServerCrashesFrame& told, TimePoint now) {
  ServerCrashesFrame news;
  std::map<ServerCrashId, ServerCrash> passed_on;
  for (const ServerCrash& crash : told.crashes) {
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
        collectCrashes(request, now, passed_on);
      } else if (suspect->second.served_at != TimePoint{} && suspect->second.crashes.size() >= kSoleSuspectCrashes) {
        // Others may count the ends before it was served.
        news.served.push_back(servedOf(request, suspect->second, now));
      }
    }
  }
  appendCrashes(std::move(passed_on), news);
  // After the ends: what is not suspected of any can't be cleared of one.
  for (const ServedSuspect& served : told.served) {
    if (recordServed(served, now)) {
      news.served.push_back(served);
    }
  }
  return news;
}

ServerCrashesFrame CrashQuarantine::onServed(const RequestFingerprint& request, std::uint64_t seen_at_us,
                                             TimePoint now) {
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) {
    return {};
  }
  const bool others_count = countedCrashes(found->second) >= kSoleSuspectCrashes || found->second.isQuarantined();
  // Clocks of machines differ: what comes later must also look later.
  const ServedSuspect served{request, std::max(seen_at_us, found->second.served_at_unix_us + 1), 0};
  recordServed(served, now);
  return others_count ? ServerCrashesFrame{{}, {served}} : ServerCrashesFrame{};
}

ServerCrashesFrame CrashQuarantine::summary(TimePoint now) const {
  std::map<ServerCrashId, ServerCrash> told;
  ServerCrashesFrame news;
  for (const auto& crash : crashes_) {
    if (now - crash.second.at <= kRecentCrashAge) {
      told.emplace(crash.first, toMessage(crash, now));
    }
  }
  for (const auto& [request, suspect] : suspects_) {
    if (countedCrashes(suspect) >= kSoleSuspectCrashes) {
      collectCrashes(request, now, told);
    }
    if (suspect.served_at != TimePoint{} && !suspect.crashes.empty()) {
      news.served.push_back(servedOf(request, suspect, now));
    }
  }
  appendCrashes(std::move(told), news);
  return news;
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

// What is known.

bool CrashQuarantine::addCrash(const ServerCrashId& id, Crash crash) {
  if (crashes_.contains(id)) {
    return false;
  }
  // Named twice by one end, a request would count as at two.
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
  // The first end of a request bears on nothing.
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
  // What still counts against it may be enough; and what is cleared may leave another request as the only one.
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
  for (const RequestFingerprint& one : affected) {
    const auto found = suspects_.find(one);
    if (found != suspects_.end()) {
      reevaluate(one, found->second);
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
  const TimePoint limited = std::min(until, now + config_.duration);
  if (limited <= now || (suspects_.size() >= kMaxSuspects && !suspects_.contains(request))) {
    return;
  }
  Suspect& suspect = suspects_[request];
  // A record that was written before the request was served may be read afterwards.
  if (suspect.served_at != TimePoint{} && until - config_.duration <= suspect.served_at) {
    return;
  }
  suspect.in_own_record = suspect.in_own_record || own_record;
  setQuarantineEnd(suspect, suspect.proved_until, std::max(suspect.recorded_until, limited));
}

std::optional<Duration> CrashQuarantine::remainingTime(const RequestFingerprint& request, TimePoint now) const {
  const auto found = suspects_.find(request);
  if (found == suspects_.end() || found->second.quarantinedUntil() <= now) {
    return std::nullopt;
  }
  return found->second.quarantinedUntil() - now;
}

std::vector<CrashQuarantine::Quarantined> CrashQuarantine::quarantined() const {
  std::vector<Quarantined> all;
  for (const auto& [request, suspect] : suspects_) {
    if (!suspect.isQuarantined()) {
      continue;
    }
    Quarantined& one = all.emplace_back(Quarantined{request, suspect.quarantinedUntil(), {}, suspect.in_own_record});
    std::copy_if(
        suspect.crashes.begin(), suspect.crashes.end(), std::back_inserter(one.crashes),
        [this, &suspect = suspect](const ServerCrashId& id) { return crashes_.at(id).at > suspect.served_at; });
    std::sort(one.crashes.begin(), one.crashes.end(), [this](const ServerCrashId& left, const ServerCrashId& right) {
      return crashes_.at(left).at < crashes_.at(right).at;
    });
  }
  std::sort(all.begin(), all.end(), [](const auto& left, const auto& right) { return left.request < right.request; });
  return all;
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
