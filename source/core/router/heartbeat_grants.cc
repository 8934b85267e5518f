#include "source/core/router/heartbeat_grants.h"

#include <algorithm>
#include <utility>

namespace shedlever {

namespace {

/// An acknowledgement that comes later after its heartbeat was sent does not count for the server (the platform's
/// protocol). As much of a grant is not relied on, since the time of sending is not known here.
constexpr Duration kAcknowledgementDeadline = std::chrono::seconds(1);
/// A server that has not been heard of for so much longer than a grant lasts holds nothing any more.
constexpr Duration kLapseMargin = std::chrono::milliseconds(300);
/// Heartbeats in a row that don't report a range they were told before the range counts as not held.
constexpr unsigned kMissedReportsUntilNotHeld = 2;
/// ... and before the server is taken to refuse its token.
constexpr unsigned kMissedReportsUntilRefused = 4;
/// Ranges told at once: with 42 bytes each they fit the 4 KiB that an acknowledgement may have.
constexpr std::size_t kMaxAssignedRanges = 94;
/// Handovers remembered of ranges that nobody has asked for.
constexpr std::size_t kMaxHandovers = 128;

KeyRange spanOf(const ReleasedRange& range) { return {range.first, range.last}; }
KeyRange spanOf(const ReportedRange& range) { return {range.first, range.last}; }

bool overlap(const KeyRange& left, const KeyRange& right) {
  return left.first <= right.last && right.first <= left.last;
}

bool contains(const KeyRange& outer, const KeyRange& inner) {
  return outer.first <= inner.first && inner.last <= outer.last;
}

/// @return whether the spans together hold all of `keys`.
bool cover(std::vector<KeyRange> spans, const KeyRange& keys) {
  std::sort(spans.begin(), spans.end());
  std::uint32_t next = keys.first;
  for (const KeyRange& span : spans) {
    if (span.first <= next && next <= span.last) {
      next = static_cast<std::uint32_t>(span.last) + 1;
    }
  }
  return next > keys.last;
}

/// @return whether the server reports all of the range as held under its token.
bool reports(const KeyReport& report, const OwnedRange& range) {
  std::vector<KeyRange> spans;
  for (const ReportedRange& held : report.held) {
    if (held.token == range.token) {
      spans.push_back(spanOf(held));
    }
  }
  return cover(std::move(spans), range.keys);
}

/// @return whether the server holds, or works on, any of the keys.
bool holdsAny(const KeyReport& report, const KeyRange& keys) {
  return std::any_of(report.held.begin(), report.held.end(),
                     [&](const ReportedRange& held) { return overlap(spanOf(held), keys); });
}

}  // namespace

HeartbeatGrants::HeartbeatGrants(const OwnershipConfig& config, TimePoint started, Events events)
    : config_(config), started_(started), events_(std::move(events)) {}

void HeartbeatGrants::update(const std::vector<OwnedRange>&, TimePoint, TimePoint now) {
  std::erase_if(expiring_, [now](const RangeAssignment& told) { return told.may_hold_until <= now; });
  endReleases(now, nullptr);
}

const HeartbeatGrants::RangeAssignment* HeartbeatGrants::assignedFor(Key key) const {
  const auto after = assigned_.upper_bound(key);
  if (after == assigned_.begin()) {
    return nullptr;
  }
  const RangeAssignment& told = std::prev(after)->second;
  return told.range.keys.contains(key) ? &told : nullptr;
}

bool HeartbeatGrants::isHeld(Key key, TimePoint now) const {
  const RangeAssignment* told = assignedFor(key);
  return told != nullptr && now < told->held_until;
}

void HeartbeatGrants::onKeyRefused(Key key) {
  if (const RangeAssignment* told = assignedFor(key)) {
    assigned_.at(told->range.keys.first).held_until = {};
  }
}

bool HeartbeatGrants::isBeingReleased(const KeyRange& keys) const {
  return std::any_of(releases_.begin(), releases_.end(),
                     [&](const Release& release) { return overlap(release.range.keys, keys); });
}

void HeartbeatGrants::release(const OwnedRange& range, ReleaseCallback done) {
  releases_.push_back({range, std::move(done), {}, false});
}

void HeartbeatGrants::clear() {
  assigned_.clear();
  expiring_.clear();
  releases_.clear();
  handovers_.clear();
}

// What heartbeats say.

void HeartbeatGrants::onReport(const KeyReport& report, TimePoint received) {
  last_report_ = received;
  recordReleased(report);
  recordHeld(report);
  endReleases(received, &report);
}

void HeartbeatGrants::recordReleased(const KeyReport& report) {
  for (const ReleasedRange& piece : report.released) {
    handovers_[piece.first] = piece;
    for (Release& release : releases_) {
      if (release.omitted && overlap(release.range.keys, spanOf(piece))) {
        release.pieces.push_back(piece);
      }
    }
  }
  while (handovers_.size() > kMaxHandovers) {
    handovers_.erase(handovers_.begin());
  }
}

void HeartbeatGrants::recordHeld(const KeyReport& report) {
  std::vector<OwnedRange> refused;
  for (auto& [first, told] : assigned_) {
    if (reports(report, told.range)) {
      told.missed_reports = 0;
      continue;
    }
    ++told.missed_reports;
    if (told.missed_reports >= kMissedReportsUntilNotHeld) {
      told.held_until = {};
    }
    if (told.missed_reports % kMissedReportsUntilRefused == 0) {
      refused.push_back(told.range);
    }
  }
  std::erase_if(handovers_, [&](const auto& entry) {
    return std::any_of(report.held.begin(), report.held.end(),
                       [&](const ReportedRange& held) { return overlap(spanOf(held), spanOf(entry.second)); });
  });
  for (const OwnedRange& range : refused) {
    events_.superseded(range);
  }
}

TimePoint HeartbeatGrants::mayHoldUntil(const KeyRange& keys) const {
  // What an earlier process told before this one started is not known.
  TimePoint until =
      started_ + std::chrono::duration_cast<Duration>(config_.heartbeat_hold * config_.clock_drift_factor);
  const auto note = [&](const RangeAssignment& told) {
    if (overlap(told.range.keys, keys)) {
      until = std::max(until, told.may_hold_until);
    }
  };
  for (const auto& [first, told] : assigned_) {
    note(told);
  }
  std::for_each(expiring_.begin(), expiring_.end(), note);
  return until;
}

/// A range that was told under a new token is reported as released under its old one while the server goes on holding
/// it, so that the word alone is not enough: the server must hold, and work on, none of its keys.
void HeartbeatGrants::endReleases(TimePoint now, const KeyReport* report) {
  std::vector<std::pair<ReleaseCallback, ReleaseResult>> ended;
  std::erase_if(releases_, [&](Release& release) {
    std::vector<KeyRange> spans;
    std::transform(release.pieces.begin(), release.pieces.end(), std::back_inserter(spans),
                   [](const ReleasedRange& piece) { return spanOf(piece); });
    const bool told =
        report != nullptr && cover(std::move(spans), release.range.keys) && !holdsAny(*report, release.range.keys);
    const bool lapsed = now >= mayHoldUntil(release.range.keys);
    if (!told && !lapsed) {
      return false;
    }
    ++(told ? counts_.released : counts_.lapsed);
    const std::string handover = told ? release.pieces.back().handover : handoverFor(release.range, {});
    ended.emplace_back(std::move(release.done), ReleaseResult{CommandStatus::Done, handover});
    return true;
  });
  for (const auto& [done, result] : ended) {
    done(result);
  }
}

// What acknowledgements tell.

std::string HeartbeatGrants::handoverFor(const OwnedRange& range, const KeyReport& report) const {
  const bool holds_some = std::any_of(report.held.begin(), report.held.end(),
                                      [&](const ReportedRange& held) { return overlap(spanOf(held), range.keys); });
  if (holds_some) {
    return {};
  }
  const auto covers = [&](const auto& entry) { return contains(spanOf(entry.second), range.keys); };
  const auto known = std::find_if(handovers_.begin(), handovers_.end(), covers);
  return known == handovers_.end() ? range.handover : known->second.handover;
}

std::vector<OwnedRange> HeartbeatGrants::assignable(const std::vector<OwnedRange>& wanted,
                                                    const KeyReport& report) const {
  std::vector<OwnedRange> ranges = wanted;
  std::erase_if(ranges, [this](const OwnedRange& range) { return isBeingReleased(range.keys); });
  if (ranges.size() > kMaxAssignedRanges) {
    std::stable_partition(ranges.begin(), ranges.end(),
                          [&](const OwnedRange& range) { return reports(report, range); });
    ranges.resize(kMaxAssignedRanges);
  }
  return ranges;
}

bool HeartbeatGrants::wouldChange(const std::vector<OwnedRange>& wanted, const KeyReport& report) const {
  const std::vector<OwnedRange> ranges = assignable(wanted, report);
  const auto is_reported = [&](const OwnedRange& range) { return reports(report, range); };
  const auto is_told = [&](const ReportedRange& held) {
    std::vector<KeyRange> spans;
    for (const OwnedRange& range : ranges) {
      if (range.token == held.token) {
        spans.push_back(range.keys);
      }
    }
    return cover(std::move(spans), spanOf(held));
  };
  return !std::all_of(ranges.begin(), ranges.end(), is_reported) ||
         !std::all_of(report.held.begin(), report.held.end(), is_told);
}

std::optional<KeyAssignment> HeartbeatGrants::assign(const std::vector<OwnedRange>& wanted, const KeyReport& report,
                                                     TimePoint lease_until, TimePoint received, TimePoint now) {
  ++counts_.acknowledgements;
  const auto room = std::chrono::duration_cast<Duration>((lease_until - received) / config_.clock_drift_factor);
  const Duration hold = std::chrono::floor<std::chrono::milliseconds>(std::min(config_.heartbeat_hold, room));
  if (hold < config_.min_grant + (now - received)) {
    ++counts_.without_keys;
    return std::nullopt;
  }
  const std::vector<OwnedRange> ranges = assignable(wanted, report);
  recordAssignment(ranges, report, hold, received);
  KeyAssignment assignment;
  assignment.hold_duration = hold;
  for (const OwnedRange& range : ranges) {
    assignment.ranges.push_back({range.keys.first, range.keys.last, range.token, handoverFor(range, report)});
  }
  for (Release& release : releases_) {
    release.omitted = true;
  }
  return assignment;
}

void HeartbeatGrants::recordAssignment(const std::vector<OwnedRange>& ranges, const KeyReport& report, Duration hold,
                                       TimePoint received) {
  std::map<Key, RangeAssignment> before = std::exchange(assigned_, {});
  const auto may_hold = std::chrono::duration_cast<Duration>(hold * config_.clock_drift_factor);
  for (const OwnedRange& range : ranges) {
    RangeAssignment told{range, received + may_hold, received + hold - kAcknowledgementDeadline, 0};
    const auto earlier = before.find(range.keys.first);
    if (earlier != before.end() && earlier->second.range.keys == range.keys &&
        earlier->second.range.token == range.token) {
      told.missed_reports = earlier->second.missed_reports;
    }
    if (told.missed_reports >= kMissedReportsUntilNotHeld) {
      told.held_until = {};
    }
    assigned_new_range_ = assigned_new_range_ || !reports(report, range);
    assigned_.emplace(range.keys.first, told);
  }
  for (auto& [first, told] : before) {
    expiring_.push_back(told);
  }
}

void HeartbeatGrants::onAcknowledged() {
  if (std::exchange(assigned_new_range_, false)) {
    events_.newly_held();
  }
}

bool HeartbeatGrants::allLapsed(TimePoint now) const {
  const auto longest = std::chrono::duration_cast<Duration>(config_.heartbeat_hold * config_.clock_drift_factor);
  return now - std::max(last_report_, started_) > longest + kLapseMargin;
}

}  // namespace shedlever
