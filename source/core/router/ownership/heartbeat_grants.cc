#include "source/core/router/ownership/heartbeat_grants.h"

#include <algorithm>
#include <utility>

namespace shedlever {

namespace {

/// The server ignores an acknowledgement that arrives later than this after it sent the heartbeat (platform protocol).
/// The time of sending is unknown here, so a grant is not relied on for this last part of its duration.
constexpr Duration kAcknowledgementDeadline = std::chrono::seconds(1);
/// Added to the grant duration before a server without heartbeats is considered to hold nothing.
constexpr Duration kLapseMargin = std::chrono::milliseconds(300);
/// Consecutive heartbeats without an assigned range after which the range counts as not held.
constexpr unsigned kMissedReportsUntilNotHeld = 2;
/// Consecutive heartbeats without an assigned range after which the server is assumed to refuse its token.
constexpr unsigned kMissedReportsUntilRefused = 4;
/// At 42 bytes per range, this many fit into the 4 KiB of an acknowledgement.
constexpr std::size_t kMaxAssignedRanges = 94;
/// Limit for handovers of ranges that are not assigned again.
constexpr std::size_t kMaxHandovers = 128;

/// @return how long a server with a slow clock may hold a range after the heartbeat that the assignment acknowledges.
Duration longestHold(const OwnershipConfig& config) {
  return std::chrono::duration_cast<Duration>(config.heartbeat_hold * config.clock_drift_factor);
}

KeyRange keyRangeOf(const ReleasedRange& range) { return {range.first, range.last}; }
KeyRange keyRangeOf(const ReportedRange& range) { return {range.first, range.last}; }

bool overlap(const KeyRange& left, const KeyRange& right) {
  return left.first <= right.last && right.first <= left.last;
}

bool contains(const KeyRange& outer, const KeyRange& inner) {
  return outer.first <= inner.first && inner.last <= outer.last;
}

/// @return whether the ranges together contain all of `keys`.
bool coverAll(std::vector<KeyRange> key_ranges, const KeyRange& keys) {
  std::sort(key_ranges.begin(), key_ranges.end());
  std::uint32_t next = keys.first;
  for (const KeyRange& key_range : key_ranges) {
    if (key_range.first <= next && next <= key_range.last) {
      next = static_cast<std::uint32_t>(key_range.last) + 1;
    }
  }
  return next > keys.last;
}

/// @return whether the server reports the whole range as held under its token.
bool reports(const KeyReport& report, const OwnedRange& range) {
  std::vector<KeyRange> key_ranges;
  for (const ReportedRange& held : report.held) {
    if (held.token == range.token) {
      key_ranges.push_back(keyRangeOf(held));
    }
  }
  return coverAll(std::move(key_ranges), range.keys);
}

/// @return whether the server holds, or still processes requests for, any of the keys.
bool holdsAny(const KeyReport& report, const KeyRange& keys) {
  return std::any_of(report.held.begin(), report.held.end(),
                     [&](const ReportedRange& held) { return overlap(keyRangeOf(held), keys); });
}

}  // namespace

HeartbeatGrants::HeartbeatGrants(const OwnershipConfig& config, TimePoint started, Events events)
    : config_(config),
      started_(started),
      events_(std::move(events)),
      earlier_hold_end_(started_ + longestHold(config_)) {}

void HeartbeatGrants::update(const std::vector<OwnedRange>&, TimePoint, TimePoint now) {
  std::erase_if(expiring_, [now](const RangeAssignment& assignment) { return assignment.may_hold_until <= now; });
  endReleases(now, nullptr);
}

const HeartbeatGrants::RangeAssignment* HeartbeatGrants::assignedFor(Key key) const {
  const auto after = assigned_.upper_bound(key);
  if (after == assigned_.begin()) {
    return nullptr;
  }
  const RangeAssignment& assignment = std::prev(after)->second;
  return assignment.range.keys.contains(key) ? &assignment : nullptr;
}

bool HeartbeatGrants::isHeld(Key key, TimePoint now) const {
  const RangeAssignment* assignment = assignedFor(key);
  return assignment != nullptr && now < assignment->held_until;
}

void HeartbeatGrants::onKeyRefused(Key key) {
  if (const RangeAssignment* assignment = assignedFor(key)) {
    assigned_.at(assignment->range.keys.first).held_until = {};
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
  earlier_hold_end_ = std::max(earlier_hold_end_, latest_hold_end_);
  assigned_.clear();
  expiring_.clear();
  releases_.clear();
  handovers_.clear();
}

// Handling of heartbeats.

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
      if (release.omitted && overlap(release.range.keys, keyRangeOf(piece))) {
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
  for (auto& [first, assignment] : assigned_) {
    if (reports(report, assignment.range)) {
      assignment.missed_reports = 0;
      continue;
    }
    ++assignment.missed_reports;
    if (assignment.missed_reports >= kMissedReportsUntilNotHeld) {
      assignment.held_until = {};
    }
    if (assignment.missed_reports % kMissedReportsUntilRefused == 0) {
      refused.push_back(assignment.range);
    }
  }
  std::erase_if(handovers_, [&](const auto& entry) {
    return std::any_of(report.held.begin(), report.held.end(),
                       [&](const ReportedRange& held) { return overlap(keyRangeOf(held), keyRangeOf(entry.second)); });
  });
  for (const OwnedRange& range : refused) {
    events_.superseded(range);
  }
}

TimePoint HeartbeatGrants::mayHoldUntil(const KeyRange& keys) const {
  // Assignments by an earlier process are unknown; they may last one grant duration after the start of this one.
  TimePoint until = earlier_hold_end_;
  const auto extend = [&](const RangeAssignment& assignment) {
    if (overlap(assignment.range.keys, keys)) {
      until = std::max(until, assignment.may_hold_until);
    }
  };
  for (const auto& [first, assignment] : assigned_) {
    extend(assignment);
  }
  std::for_each(expiring_.begin(), expiring_.end(), extend);
  return until;
}

/// After a change of tokens the server reports the range as released under its old token while it still holds it under
/// the new one. A reported release therefore counts only once the server holds none of the keys.
void HeartbeatGrants::endReleases(TimePoint now, const KeyReport* report) {
  std::vector<std::pair<ReleaseCallback, ReleaseResult>> ended;
  std::erase_if(releases_, [&](Release& release) {
    std::vector<KeyRange> key_ranges;
    std::transform(release.pieces.begin(), release.pieces.end(), std::back_inserter(key_ranges),
                   [](const ReleasedRange& piece) { return keyRangeOf(piece); });
    const bool reported = report != nullptr && coverAll(std::move(key_ranges), release.range.keys) &&
                          !holdsAny(*report, release.range.keys);
    const bool lapsed = now >= mayHoldUntil(release.range.keys);
    if (!reported && !lapsed) {
      return false;
    }
    ++(reported ? counts_.released : counts_.lapsed);
    const std::string handover = reported ? release.pieces.back().handover : handoverFor(release.range, {});
    ended.emplace_back(std::move(release.done), ReleaseResult{CommandStatus::Done, handover});
    return true;
  });
  for (const auto& [done, result] : ended) {
    done(result);
  }
}

// Contents of acknowledgements.

std::string HeartbeatGrants::handoverFor(const OwnedRange& range, const KeyReport& report) const {
  const bool holds_some = std::any_of(report.held.begin(), report.held.end(),
                                      [&](const ReportedRange& held) { return overlap(keyRangeOf(held), range.keys); });
  if (holds_some) {
    return {};
  }
  const auto covers = [&](const auto& entry) { return contains(keyRangeOf(entry.second), range.keys); };
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
  const auto is_assigned = [&](const ReportedRange& held) {
    std::vector<KeyRange> key_ranges;
    for (const OwnedRange& range : ranges) {
      if (range.token == held.token) {
        key_ranges.push_back(range.keys);
      }
    }
    return coverAll(std::move(key_ranges), keyRangeOf(held));
  };
  return !std::all_of(ranges.begin(), ranges.end(), is_reported) ||
         !std::all_of(report.held.begin(), report.held.end(), is_assigned);
}

std::optional<KeyAssignment> HeartbeatGrants::assign(const std::vector<OwnedRange>& wanted, const KeyReport& report,
                                                     TimePoint lease_until, TimePoint received, TimePoint now) {
  ++counts_.acknowledgements;
  const auto lease_left = std::chrono::duration_cast<Duration>((lease_until - received) / config_.clock_drift_factor);
  const Duration hold = std::chrono::floor<std::chrono::milliseconds>(std::min(config_.heartbeat_hold, lease_left));
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
  const auto max_hold = std::chrono::duration_cast<Duration>(hold * config_.clock_drift_factor);
  if (!ranges.empty()) {
    latest_hold_end_ = std::max(latest_hold_end_, received + max_hold);
  }
  for (const OwnedRange& range : ranges) {
    RangeAssignment assignment{range, received + max_hold, received + hold - kAcknowledgementDeadline, 0};
    const auto earlier = before.find(range.keys.first);
    if (earlier != before.end() && earlier->second.range.keys == range.keys &&
        earlier->second.range.token == range.token) {
      assignment.missed_reports = earlier->second.missed_reports;
    }
    if (assignment.missed_reports >= kMissedReportsUntilNotHeld) {
      assignment.held_until = {};
    }
    assigned_new_range_ = assigned_new_range_ || !reports(report, range);
    assigned_.emplace(range.keys.first, assignment);
  }
  for (auto& [first, assignment] : before) {
    expiring_.push_back(assignment);
  }
}

void HeartbeatGrants::onAcknowledged() {
  if (std::exchange(assigned_new_range_, false)) {
    events_.newly_held();
  }
}

bool HeartbeatGrants::allLapsed(TimePoint now) const {
  return now - std::max(last_report_, started_) > longestHold(config_) + kLapseMargin;
}

}  // namespace shedlever
