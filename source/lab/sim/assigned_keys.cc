#include "source/lab/sim/assigned_keys.h"

#include <algorithm>
#include <string>
#include <utility>

namespace shedlever::sim {

namespace {

/// The platform's limit for how slow a server's clock may run.
constexpr double kClockDrift = 1.02;

Duration byServersClock(Duration hold) { return std::chrono::duration_cast<Duration>(hold * kClockDrift); }

}  // namespace

AssignedKeys::AssignedKeys(const Clock& clock, std::function<bool(const KeyRange&, TimePoint)> has_running_work)
    : clock_(clock), has_running_work_(std::move(has_running_work)), max_tokens_(kKeyCount, 0) {}

void AssignedKeys::removeExpired() {
  const TimePoint now = clock_.now();
  std::erase_if(held_, [now](const HeldRange& row) { return row.expires <= now; });
  std::erase_if(releasing_, [&](const HeldRange& row) {
    const bool has_ended = !has_running_work_(row.keys, row.release_started);
    if (has_ended && row.expires > now) {
      released_.push_back({row.keys.first, row.keys.last, "handover-" + std::to_string(row.token)});
    }
    return has_ended || row.expires <= now;
  });
}

KeyReport AssignedKeys::report() {
  removeExpired();
  KeyReport report;
  for (const auto* rows : {&held_, &releasing_}) {
    for (const HeldRange& row : *rows) {
      report.held.push_back({row.keys.first, row.keys.last, row.token});
    }
  }
  report.released = released_;
  return report;
}

bool AssignedKeys::isStale(const AssignedRange& range) const {
  return std::any_of(max_tokens_.begin() + range.first, max_tokens_.begin() + range.last + 1,
                     [&](FenceToken seen) { return seen > range.token; });
}

/// Starts to release the keys of the range that are not in `kept`. The release completes when no requests for them run.
void AssignedKeys::startRelease(const HeldRange& row, std::vector<AssignedRange> kept) {
  std::uint32_t next = row.keys.first;
  const auto release = [&](std::uint32_t end) {
    if (next < end) {
      HeldRange releasing = row;
      releasing.keys = {static_cast<Key>(next), static_cast<Key>(end - 1)};
      releasing.release_started = clock_.now();
      releasing_.push_back(releasing);
    }
  };
  std::sort(kept.begin(), kept.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
  for (const AssignedRange& range : kept) {
    if (range.last >= next && range.first <= row.keys.last) {
      release(range.first);
      next = std::max<std::uint32_t>(next, static_cast<std::uint32_t>(range.last) + 1);
    }
  }
  release(static_cast<std::uint32_t>(row.keys.last) + 1);
}

std::vector<AssignedRange> AssignedKeys::onAcknowledged(const std::optional<KeyAssignment>& assignment,
                                                        const std::vector<ReleasedRange>& reported, TimePoint sent) {
  removeExpired();
  const auto was_reported = [&](const ReleasedRange& range) {
    return std::any_of(reported.begin(), reported.end(), [&](const ReleasedRange& other) {
      return other.first == range.first && other.last == range.last;
    });
  };
  std::erase_if(released_, was_reported);
  std::vector<AssignedRange> newly_taken;
  if (!assignment) {
    return newly_taken;
  }
  std::vector<AssignedRange> accepted = assignment->ranges;
  std::erase_if(accepted, [this](const AssignedRange& range) { return isStale(range); });
  const std::vector<HeldRange> before = std::exchange(held_, {});
  for (const HeldRange& row : before) {
    startRelease(row, accepted);
  }
  for (const AssignedRange& range : accepted) {
    const HeldRange row{{range.first, range.last}, range.token, sent + byServersClock(assignment->hold_duration), {}};
    const bool is_new = std::none_of(before.begin(), before.end(), [&](const HeldRange& other) {
      return other.keys == row.keys && other.token == row.token;
    });
    if (is_new) {
      newly_taken.push_back(range);
      std::fill(max_tokens_.begin() + range.first, max_tokens_.begin() + range.last + 1, range.token);
    }
    held_.push_back(row);
  }
  return newly_taken;
}

void AssignedKeys::dropAllKeys() {
  held_.clear();
  releasing_.clear();
}

FenceToken AssignedKeys::tokenOf(Key key) const {
  const TimePoint now = clock_.now();
  const auto found = std::find_if(held_.begin(), held_.end(),
                                  [&](const HeldRange& row) { return row.keys.contains(key) && row.expires > now; });
  return found == held_.end() ? 0 : found->token;
}

bool AssignedKeys::occupies(Key key) const {
  const TimePoint now = clock_.now();
  const auto has_running_work = [&](const HeldRange& row) {
    return row.keys.contains(key) && row.expires > now && has_running_work_(row.keys, row.release_started);
  };
  return tokenOf(key) != 0 || std::any_of(releasing_.begin(), releasing_.end(), has_running_work);
}

}  // namespace shedlever::sim
