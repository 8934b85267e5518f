#include "source/core/router/quarantine/crash_quarantine.h"

#include <algorithm>
#include <set>
#include <utility>

namespace shedlever {

namespace {

/// Ends that point at one request where it is the only one that they point at.
constexpr std::size_t kEndsOfTheOnlySuspect = 2;
/// Of a service's servers at a time some hundred end at worst; 256 ends of 64 requests are 260 KB.
constexpr std::size_t kMostEnds = 256;
/// More than the slots of a server in use today (18 to 64).
constexpr std::size_t kMostUnanswered = 128;
/// Requests known by records alone, or served since: more than servers can end for.
constexpr std::size_t kMostSuspects = 8192;
/// Told to each process that is reached, though nothing points at one request yet: the second end mostly follows
/// within seconds of the first.
constexpr Duration kRecent = std::chrono::seconds(60);

Duration::rep ageOf(TimePoint at, TimePoint now) { return std::max((now - at).count(), Duration::rep{0}); }

void appendEnds(std::map<ServerCrashId, ServerCrash>&& ends, ServerCrashesFrame& news) {
  for (auto& [unused, end] : ends) {
    news.crashes.push_back(std::move(end));
  }
}

}  // namespace

// News.

ServerCrashesFrame CrashQuarantine::onOwnEnd(const ServerCrashId& id, const std::vector<RequestFingerprint>& unanswered,
                                             TimePoint now) {
  ServerCrashesFrame news;
  if (unanswered.empty() || !addEnd(id, {now, unanswered, true})) {
    return news;
  }
  std::map<ServerCrashId, ServerCrash> told;
  told[id] = copyOf(*ends_.find(id), now);
  for (const RequestFingerprint& request : unanswered) {
    if (countOf(request) >= kEndsOfTheOnlySuspect) {
      addEndsOf(request, now, told);
    }
  }
  appendEnds(std::move(told), news);
  return news;
}

ServerCrashesFrame CrashQuarantine::take(const ServerCrashesFrame& told, TimePoint now) {
  ServerCrashesFrame news;
  std::map<ServerCrashId, ServerCrash> passed_on;
  for (const ServerCrash& end : told.crashes) {
    const TimePoint at = now - Duration(end.age_us);
    if (now - at > config_.time || !addEnd(end.id, {at, end.unanswered, false})) {
      continue;
    }
    for (const RequestFingerprint& request : end.unanswered) {
      const auto suspect = suspects_.find(request);
      if (suspect == suspects_.end()) {
        continue;
      }
      if (countOf(suspect->second) >= kEndsOfTheOnlySuspect) {
        addEndsOf(request, now, passed_on);
      } else if (suspect->second.served_at != TimePoint{} && suspect->second.ends.size() >= kEndsOfTheOnlySuspect) {
        // Others may count the ends before it was served.
        news.served.push_back(servedOf(request, suspect->second, now));
      }
    }
  }
  appendEnds(std::move(passed_on), news);
  // After the ends: what is not suspected of any can't be cleared of one.
  for (const ServedSuspect& served : told.served) {
    if (noteServed(served, now)) {
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
  const bool others_count = countOf(found->second) >= kEndsOfTheOnlySuspect || found->second.isQuarantined();
  // Clocks of machines differ: what comes later must also look later.
  const ServedSuspect served{request, std::max(seen_at_us, found->second.served_seen_us + 1), 0};
  noteServed(served, now);
  return others_count ? ServerCrashesFrame{{}, {served}} : ServerCrashesFrame{};
}

ServerCrashesFrame CrashQuarantine::summary(TimePoint now) const {
  std::map<ServerCrashId, ServerCrash> told;
  ServerCrashesFrame news;
  for (const auto& end : ends_) {
    if (now - end.second.at <= kRecent) {
      told.emplace(end.first, copyOf(end, now));
    }
  }
  for (const auto& [request, suspect] : suspects_) {
    if (countOf(suspect) >= kEndsOfTheOnlySuspect) {
      addEndsOf(request, now, told);
    }
    if (suspect.served_at != TimePoint{} && !suspect.ends.empty()) {
      news.served.push_back(servedOf(request, suspect, now));
    }
  }
  appendEnds(std::move(told), news);
  return news;
}

void CrashQuarantine::addEndsOf(const RequestFingerprint& request, TimePoint now,
                                std::map<ServerCrashId, ServerCrash>& found) const {
  for (const ServerCrashId& id : suspects_.at(request).ends) {
    found.try_emplace(id, copyOf(*ends_.find(id), now));
  }
}

ServerCrash CrashQuarantine::copyOf(const Ends::value_type& end, TimePoint now) const {
  return {end.first, ageOf(end.second.at, now), end.second.unanswered};
}

// What is known.

bool CrashQuarantine::addEnd(const ServerCrashId& id, End end) {
  if (ends_.contains(id)) {
    return false;
  }
  // Named twice by one end, a request would count as at two.
  std::sort(end.unanswered.begin(), end.unanswered.end());
  end.unanswered.erase(std::unique(end.unanswered.begin(), end.unanswered.end()), end.unanswered.end());
  if (end.unanswered.size() > kMostUnanswered) {
    end.unanswered.resize(kMostUnanswered);
  }
  if (ends_.size() >= kMostEnds) {
    dropEnd(std::min_element(ends_.begin(), ends_.end(),
                             [](const auto& left, const auto& right) { return left.second.at < right.second.at; }));
  }
  const End& added = ends_.emplace(id, std::move(end)).first->second;
  std::vector<RequestFingerprint> repeated;
  for (const RequestFingerprint& request : added.unanswered) {
    if (suspects_.size() >= kMostSuspects && !suspects_.contains(request)) {
      continue;
    }
    Suspect& suspect = suspects_[request];
    suspect.ends.push_back(id);
    suspect.recorded_here = suspect.recorded_here || added.own;
    if (suspect.ends.size() >= kEndsOfTheOnlySuspect) {
      repeated.push_back(request);
    }
  }
  // The first end of a request bears on nothing.
  for (const RequestFingerprint& request : repeated) {
    judgeAllBeside(request);
  }
  return true;
}

void CrashQuarantine::dropEnd(Ends::iterator end) {
  for (const RequestFingerprint& request : end->second.unanswered) {
    const auto suspect = suspects_.find(request);
    if (suspect == suspects_.end()) {
      continue;
    }
    std::erase(suspect->second.ends, end->first);
    if (suspect->second.ends.empty()) {
      setUntil(suspect->second, {}, suspect->second.recorded_until);
    }
    if (suspect->second.ends.empty() && !suspect->second.isQuarantined()) {
      suspects_.erase(suspect);
    }
  }
  ends_.erase(end);
}

ServedSuspect CrashQuarantine::servedOf(const RequestFingerprint& request, const Suspect& suspect, TimePoint now) {
  return {request, suspect.served_seen_us, ageOf(suspect.served_at, now)};
}

bool CrashQuarantine::noteServed(const ServedSuspect& served, TimePoint now) {
  const auto found = suspects_.find(served.request);
  if (found == suspects_.end() || served.seen_at_us <= found->second.served_seen_us) {
    return false;
  }
  Suspect& suspect = found->second;
  const TimePoint at = now - Duration(served.age_us);
  suspect.served_seen_us = served.seen_at_us;
  suspect.served_at = at;
  const bool recorded_later = suspect.recorded_until - config_.time > at;
  setUntil(suspect, suspect.proved_until, recorded_later ? suspect.recorded_until : TimePoint{});
  // What still counts against it may be enough; and what is cleared may leave another request as the only one.
  judgeAllBeside(served.request);
  return true;
}

std::size_t CrashQuarantine::countOf(const Suspect& suspect) const {
  const auto counts = [this, &suspect](const ServerCrashId& id) { return ends_.at(id).at > suspect.served_at; };
  return static_cast<std::size_t>(std::count_if(suspect.ends.begin(), suspect.ends.end(), counts));
}

std::size_t CrashQuarantine::countOf(const RequestFingerprint& request) const {
  const auto found = suspects_.find(request);
  return found == suspects_.end() ? 0 : countOf(found->second);
}

std::size_t CrashQuarantine::countAt(const RequestFingerprint& request, TimePoint time) const {
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) {
    return 0;
  }
  const Suspect& suspect = found->second;
  const auto counts = [this, &suspect, time](const ServerCrashId& id) {
    const TimePoint at = ends_.at(id).at;
    return at > suspect.served_at && at <= time;
  };
  return static_cast<std::size_t>(std::count_if(suspect.ends.begin(), suspect.ends.end(), counts));
}

bool CrashQuarantine::proves(const End& end, const RequestFingerprint& request) const {
  const std::size_t count = countAt(request, end.at);
  if (count >= config_.ends) {
    return true;
  }
  const auto is_rival = [this, &end, &request](const RequestFingerprint& other) {
    return other != request && countAt(other, end.at) >= kEndsOfTheOnlySuspect;
  };
  return count >= kEndsOfTheOnlySuspect && std::none_of(end.unanswered.begin(), end.unanswered.end(), is_rival);
}

void CrashQuarantine::judge(const RequestFingerprint& request, Suspect& suspect) {
  bool proved = false;
  TimePoint last{};
  for (const ServerCrashId& id : suspect.ends) {
    const End& end = ends_.at(id);
    if (end.at > suspect.served_at) {
      last = std::max(last, end.at);
      proved = proved || proves(end, request);
    }
  }
  setUntil(suspect, proved ? last + config_.time : TimePoint{}, suspect.recorded_until);
}

void CrashQuarantine::judgeAllBeside(const RequestFingerprint& request) {
  std::set<RequestFingerprint> affected;
  for (const ServerCrashId& id : suspects_.at(request).ends) {
    const End& end = ends_.at(id);
    affected.insert(end.unanswered.begin(), end.unanswered.end());
  }
  for (const RequestFingerprint& one : affected) {
    const auto found = suspects_.find(one);
    if (found != suspects_.end()) {
      judge(one, found->second);
    }
  }
}

void CrashQuarantine::setUntil(Suspect& suspect, TimePoint proved, TimePoint recorded) {
  quarantined_ -= suspect.isQuarantined() ? 1 : 0;
  suspect.proved_until = proved;
  suspect.recorded_until = recorded;
  quarantined_ += suspect.isQuarantined() ? 1 : 0;
}

void CrashQuarantine::onRecorded(const RequestFingerprint& request, TimePoint until, bool own_record, TimePoint now) {
  const TimePoint limited = std::min(until, now + config_.time);
  if (limited <= now || (suspects_.size() >= kMostSuspects && !suspects_.contains(request))) {
    return;
  }
  Suspect& suspect = suspects_[request];
  // A record that was written before the request was served may be read afterwards.
  if (suspect.served_at != TimePoint{} && until - config_.time <= suspect.served_at) {
    return;
  }
  suspect.recorded_here = suspect.recorded_here || own_record;
  setUntil(suspect, suspect.proved_until, std::max(suspect.recorded_until, limited));
}

std::optional<Duration> CrashQuarantine::timeLeft(const RequestFingerprint& request, TimePoint now) const {
  const auto found = suspects_.find(request);
  if (found == suspects_.end() || found->second.until() <= now) {
    return std::nullopt;
  }
  return found->second.until() - now;
}

std::vector<CrashQuarantine::Quarantined> CrashQuarantine::quarantined() const {
  std::vector<Quarantined> all;
  for (const auto& [request, suspect] : suspects_) {
    if (!suspect.isQuarantined()) {
      continue;
    }
    Quarantined& one = all.emplace_back(Quarantined{request, suspect.until(), {}, suspect.recorded_here});
    std::copy_if(suspect.ends.begin(), suspect.ends.end(), std::back_inserter(one.ends),
                 [this, &suspect = suspect](const ServerCrashId& id) { return ends_.at(id).at > suspect.served_at; });
    std::sort(one.ends.begin(), one.ends.end(), [this](const ServerCrashId& left, const ServerCrashId& right) {
      return ends_.at(left).at < ends_.at(right).at;
    });
  }
  std::sort(all.begin(), all.end(), [](const auto& left, const auto& right) { return left.request < right.request; });
  return all;
}

bool CrashQuarantine::forget(TimePoint now) {
  const std::size_t before = quarantined_;
  for (auto end = ends_.begin(); end != ends_.end();) {
    const auto next = std::next(end);
    if (now - end->second.at > config_.time) {
      dropEnd(end);
    }
    end = next;
  }
  for (auto suspect = suspects_.begin(); suspect != suspects_.end();) {
    if (suspect->second.until() <= now) {
      setUntil(suspect->second, {}, {});
    }
    const bool over = suspect->second.ends.empty() && !suspect->second.isQuarantined();
    suspect = over ? suspects_.erase(suspect) : std::next(suspect);
  }
  return quarantined_ < before;
}

}  // namespace shedlever
