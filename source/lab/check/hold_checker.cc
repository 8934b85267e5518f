#include "source/lab/check/hold_checker.h"

#include <algorithm>
#include <limits>
#include <sstream>
#include <tuple>

#include "source/lab/check/hold_sweep.h"

namespace shedlever::check {

namespace {

constexpr int kMaxKey = 65535;
/// Two servers may hold the same keys for this time, as long as not both begin requests.
constexpr std::int64_t kMaxOverlapMicroseconds = 500'000;
/// Grants that arrive within this time after their sender was resumed do not count (`thawSlack` of the sites).
constexpr std::int64_t kResumeSlackMicroseconds = 300'000;

/// Overlaps of one pair of instances that follow one another without a pause.
using OverlapGroup = std::vector<HoldOverlap>;

std::vector<OverlapGroup> groupsOf(const std::vector<HoldOverlap>& overlaps) {
  std::vector<OverlapGroup> groups;
  std::int64_t end = 0;
  for (const HoldOverlap& overlap : overlaps) {
    if (groups.empty() || overlap.from >= end) {
      groups.emplace_back();
      end = overlap.to;
    }
    groups.back().push_back(overlap);
    end = std::max(end, overlap.to);
  }
  return groups;
}

std::size_t countBegun(const OverlapGroup& group, const std::vector<std::pair<std::int64_t, int>>& begun) {
  return static_cast<std::size_t>(std::count_if(begun.begin(), begun.end(), [&group](const auto& request) {
    const auto& [at, key] = request;
    return std::any_of(group.begin(), group.end(), [at = at, key = key](const HoldOverlap& overlap) {
      return key >= overlap.first && key <= overlap.last && at >= overlap.from && at < overlap.to;
    });
  }));
}

std::string rangesText(const OverlapGroup& group) {
  std::vector<std::pair<int, int>> ranges;
  for (const HoldOverlap& overlap : group) {
    ranges.emplace_back(overlap.first, overlap.last);
  }
  std::sort(ranges.begin(), ranges.end());
  std::vector<std::pair<int, int>> merged;
  for (const auto& range : ranges) {
    if (!merged.empty() && range.first <= merged.back().second + 1) {
      merged.back().second = std::max(merged.back().second, range.second);
    } else {
      merged.push_back(range);
    }
  }
  std::string text;
  for (const auto& [first, last] : merged) {
    text += (text.empty() ? "" : ", ") + std::to_string(first) + "-" + std::to_string(last);
  }
  return text;
}

const HoldOverlap& longestOf(const OverlapGroup& group) {
  return *std::max_element(group.begin(), group.end(), [](const HoldOverlap& left, const HoldOverlap& right) {
    return left.to - left.from < right.to - right.from;
  });
}

/// Judges the overlaps of one pair of instances.
class PairJudge {
 public:
  PairJudge(const HoldSweep& sweep, const std::vector<std::string>& names, HoldSweep::Pair pair)
      : sweep_(sweep), names_(names), pair_(pair) {}

  void addViolations(const OverlapGroup& group, std::vector<std::string>& messages) const {
    const std::size_t begun_low = countBegun(group, sweep_.begun(pair_.first));
    const std::size_t begun_high = countBegun(group, sweep_.begun(pair_.second));
    if (begun_low > 0 && begun_high > 0) {
      messages.push_back(description(group) + "; meanwhile they began " + std::to_string(begun_low) + " and " +
                         std::to_string(begun_high) + " requests on these keys");
    }
    const HoldOverlap& longest = longestOf(group);
    if (longest.to - longest.from > kMaxOverlapMicroseconds) {
      messages.push_back(description(group) + ", which is longer than 500 ms");
    }
  }

 private:
  std::string description(const OverlapGroup& group) const {
    const HoldOverlap& longest = longestOf(group);
    return names_[pair_.first] + " with token " + std::to_string(longest.token_low) + " and " + names_[pair_.second] +
           " with token " + std::to_string(longest.token_high) + " both held keys " + rangesText(group) + " from " +
           std::to_string(longest.from) + " to " + std::to_string(longest.to) + " us, for " +
           std::to_string(longest.to - longest.from) + " us";
  }

  const HoldSweep& sweep_;
  const std::vector<std::string>& names_;
  HoldSweep::Pair pair_;
};

std::optional<HoldEvent::Kind> kindOf(const std::string& event) {
  static const std::map<std::string, HoldEvent::Kind> kinds = {
      {"down", HoldEvent::Kind::Down}, {"release", HoldEvent::Kind::Release}, {"released", HoldEvent::Kind::Released},
      {"end", HoldEvent::Kind::End},   {"take", HoldEvent::Kind::Take},       {"begin", HoldEvent::Kind::Begin}};
  const auto found = kinds.find(event);
  return found == kinds.end() ? std::nullopt : std::optional(found->second);
}

/// Reads what follows the event's name.
/// @return whether the line is complete and concerns keys.
bool readArguments(std::istringstream& words, HoldEvent& event) {
  std::string id;
  switch (event.kind) {
    case HoldEvent::Kind::Down:
      return true;
    case HoldEvent::Kind::Begin:
    case HoldEvent::Kind::End:
      words >> id >> event.first;
      event.last = event.first;
      break;
    default: {
      words >> event.first >> event.last >> event.token;
      const bool is_complete = !words.fail();
      std::int64_t until = 0;
      if (is_complete && words >> until) {
        event.until = until;
      }
      return is_complete && event.first >= 0 && event.first <= event.last && event.last <= kMaxKey;
    }
  }
  return !words.fail() && event.first >= 0 && event.first <= kMaxKey;
}

}  // namespace

std::size_t HoldChecker::indexOf(std::size_t log, const std::string& name) {
  const auto [entry, is_new] = index_.try_emplace(name, instances_.size());
  if (is_new) {
    instances_.push_back({name, log});
  }
  return entry->second;
}

void HoldChecker::addLine(std::size_t log, const std::string& line) {
  std::istringstream words(line);
  HoldEvent event;
  std::string name;
  std::string event_name;
  words >> event.at >> name >> event_name;
  if (words.fail()) {
    return;
  }
  if (event_name == "resumed") {
    resumes_[log].push_back(event.at);
  } else if (event_name == "killed") {
    Kill kill{event.at, log, 0};
    words >> kill.pid;
    kills_.push_back(kill);
  } else if (event_name == "up") {
    std::string id;
    int pid = 0;
    if (words >> id >> pid) {
      starts_[{log, pid}].push_back({event.at, indexOf(log, name)});
    }
  } else if (const std::optional<HoldEvent::Kind> kind = kindOf(event_name)) {
    event.kind = *kind;
    if (readArguments(words, event)) {
      event.instance = indexOf(log, name);
      events_.push_back(event);
    }
  }
}

bool HoldChecker::arrivedAfterPause(const HoldEvent& event) const {
  const auto resumes = resumes_.find(instances_[event.instance].log);
  return resumes != resumes_.end() &&
         std::any_of(resumes->second.begin(), resumes->second.end(), [&event](std::int64_t resumed) {
           return event.at >= resumed && event.at <= resumed + kResumeSlackMicroseconds;
         });
}

std::optional<std::size_t> HoldChecker::instanceOf(const Kill& kill) const {
  const auto starts = starts_.find({kill.log, kill.pid});
  std::optional<std::size_t> instance;
  if (starts == starts_.end()) {
    return instance;
  }
  std::int64_t newest = std::numeric_limits<std::int64_t>::min();
  for (const Start& start : starts->second) {
    if (start.at <= kill.at && start.at >= newest) {
      newest = start.at;
      instance = start.instance;
    }
  }
  return instance;
}

std::vector<HoldEvent> HoldChecker::orderedEvents() const {
  std::vector<HoldEvent> events;
  for (const HoldEvent& event : events_) {
    if (event.kind != HoldEvent::Kind::Take || !arrivedAfterPause(event)) {
      events.push_back(event);
    }
  }
  for (const Kill& kill : kills_) {
    if (const std::optional<std::size_t> instance = instanceOf(kill)) {
      events.push_back({kill.at, HoldEvent::Kind::Down, *instance, 0, 0, 0, std::nullopt});
    }
  }
  std::stable_sort(events.begin(), events.end(), [](const HoldEvent& left, const HoldEvent& right) {
    return std::tuple(left.at, left.kind) < std::tuple(right.at, right.kind);
  });
  return events;
}

std::vector<std::string> HoldChecker::names() const {
  std::vector<std::string> names;
  for (const Instance& instance : instances_) {
    names.push_back(instance.name);
  }
  return names;
}

std::vector<std::string> HoldChecker::violations() const {
  const std::vector<std::string> instance_names = names();
  HoldSweep sweep(instance_names);
  sweep.run(orderedEvents());
  std::vector<std::string> messages = sweep.messages();
  for (const auto& [pair, overlaps] : sweep.overlaps()) {
    const PairJudge judge(sweep, instance_names, pair);
    for (const OverlapGroup& group : groupsOf(overlaps)) {
      judge.addViolations(group, messages);
    }
  }
  return messages;
}

}  // namespace shedlever::check
