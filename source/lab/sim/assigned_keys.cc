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

AssignedKeys::AssignedKeys(const Clock& clock, std::function<bool(const KeyRange&, TimePoint)> works)
    : clock_(clock), works_(std::move(works)), seen_(kKeyCount, 0) {}

void AssignedKeys::passTime() {
  const TimePoint now = clock_.now();
  std::erase_if(rows_, [now](const Row& row) { return row.until <= now; });
  std::erase_if(leaving_, [&](const Row& row) {
    const bool has_ended = !works_(row.keys, row.let_go);
    if (has_ended && row.until > now) {
      released_.push_back({row.keys.first, row.keys.last, "handover-" + std::to_string(row.token)});
    }
    return has_ended || row.until <= now;
  });
}

KeyReport AssignedKeys::report() {
  passTime();
  KeyReport report;
  for (const auto* rows : {&rows_, &leaving_}) {
    for (const Row& row : *rows) {
      report.held.push_back({row.keys.first, row.keys.last, row.token});
    }
  }
  report.released = released_;
  return report;
}

bool AssignedKeys::refuses(const AssignedRange& range) const {
  return std::any_of(seen_.begin() + range.first, seen_.begin() + range.last + 1,
                     [&](FenceToken seen) { return seen > range.token; });
}

/// Keys of the row that are not in `kept` are let go of once the work on them has ended.
void AssignedKeys::letGo(const Row& row, std::vector<AssignedRange> kept) {
  std::uint32_t next = row.keys.first;
  const auto leave = [&](std::uint32_t end) {
    if (next < end) {
      Row leaving = row;
      leaving.keys = {static_cast<Key>(next), static_cast<Key>(end - 1)};
      leaving.let_go = clock_.now();
      leaving_.push_back(leaving);
    }
  };
  std::sort(kept.begin(), kept.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
  for (const AssignedRange& range : kept) {
    if (range.last >= next && range.first <= row.keys.last) {
      leave(range.first);
      next = std::max<std::uint32_t>(next, static_cast<std::uint32_t>(range.last) + 1);
    }
  }
  leave(static_cast<std::uint32_t>(row.keys.last) + 1);
}

std::vector<AssignedRange> AssignedKeys::onAcknowledged(const std::optional<KeyAssignment>& assignment,
                                                        const std::vector<ReleasedRange>& reported, TimePoint sent) {
  passTime();
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
  std::erase_if(accepted, [this](const AssignedRange& range) { return refuses(range); });
  const std::vector<Row> before = std::exchange(rows_, {});
  for (const Row& row : before) {
    letGo(row, accepted);
  }
  for (const AssignedRange& range : accepted) {
    const Row row{{range.first, range.last}, range.token, sent + byServersClock(assignment->hold_duration), {}};
    const bool is_new = std::none_of(before.begin(), before.end(), [&](const Row& other) {
      return other.keys == row.keys && other.token == row.token;
    });
    if (is_new) {
      newly_taken.push_back(range);
      std::fill(seen_.begin() + range.first, seen_.begin() + range.last + 1, range.token);
    }
    rows_.push_back(row);
  }
  return newly_taken;
}

void AssignedKeys::forgetAll() {
  rows_.clear();
  leaving_.clear();
}

FenceToken AssignedKeys::tokenOf(Key key) const {
  const TimePoint now = clock_.now();
  const auto found = std::find_if(rows_.begin(), rows_.end(),
                                  [&](const Row& row) { return row.keys.contains(key) && row.until > now; });
  return found == rows_.end() ? 0 : found->token;
}

bool AssignedKeys::occupies(Key key) const {
  const TimePoint now = clock_.now();
  const auto works = [&](const Row& row) {
    return row.keys.contains(key) && row.until > now && works_(row.keys, row.let_go);
  };
  return tokenOf(key) != 0 || std::any_of(leaving_.begin(), leaving_.end(), works);
}

}  // namespace shedlever::sim
