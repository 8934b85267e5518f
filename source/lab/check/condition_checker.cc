#include "source/lab/check/condition_checker.h"

#include <algorithm>
#include <fstream>
#include <limits>
#include <optional>
#include <sstream>

namespace shedlever::check {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr std::int64_t kSpanMicroseconds = 4'000'000;
/// Time within which a new limit must hold.
constexpr std::int64_t kNoticeMicroseconds = 500'000;
constexpr double kMaxFactor = 1.5;
constexpr double kMaxExtra = 5;

/// @return requests per second; infinite for no limit, std::nullopt for text that is not a valid limit, which changes
///   nothing.
std::optional<double> readLimit(const std::string& text) {
  if (text == "-") {
    return std::numeric_limits<double>::infinity();
  }
  std::istringstream stream(text);
  double limit = 0;
  const bool valid = (stream >> limit) && stream.eof() && limit >= 0;
  return valid ? std::optional(limit) : std::nullopt;
}

std::string serverOf(const std::string& instance) { return instance.substr(0, instance.find('/')); }

}  // namespace

void ConditionChecker::readLog(const std::string& path) {
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    readLine(line);
  }
}

void ConditionChecker::readLine(const std::string& line) {
  std::istringstream words(line);
  std::int64_t at = 0;
  std::string instance;
  std::string event;
  std::string argument;
  words >> at >> instance >> event >> argument;
  if (event == "begin") {
    instances_[instance].starts.emplace_back(at, argument);
  } else if (event == "leaving") {
    instances_[instance].leaving_since = at;
  } else if (event == "limit") {
    if (const std::optional<double> limit = readLimit(argument)) {
      instances_[instance].limits.push_back({at, *limit});
    }
  }
}

void ConditionChecker::addRequest(const std::string& id, const std::string& process, TimePoint sent) {
  requests_[id] = {process, sent};
}

void ConditionChecker::addLeavingResponse(const std::string& process, const std::string& server, TimePoint received) {
  leaving_passed_on_[{process, server}].push_back(received);
}

double ConditionChecker::allowedStarts(const Instance& instance, std::int64_t from, std::int64_t until) {
  double allowed = kMaxExtra;
  for (std::size_t i = 0; i < instance.limits.size(); ++i) {
    // A limit applies until the next one must hold; a higher one applies at once.
    const bool is_last = i + 1 == instance.limits.size();
    const std::int64_t begin = std::max(from, instance.limits[i].from);
    const std::int64_t notice =
        !is_last && instance.limits[i + 1].per_second < instance.limits[i].per_second ? kNoticeMicroseconds : 0;
    const std::int64_t end = is_last ? until : std::min(until, instance.limits[i + 1].from + notice);
    if (end > begin) {
      allowed += kMaxFactor * instance.limits[i].per_second * static_cast<double>(end - begin) / kMicrosecondsPerSecond;
    }
  }
  return allowed;
}

void ConditionChecker::checkLimits(const std::string& name, const Instance& instance,
                                   std::vector<std::string>& messages) {
  if (instance.limits.empty()) {
    return;
  }
  const std::int64_t judged_from = instance.limits.front().from + kNoticeMicroseconds;
  for (std::size_t first = 0; first < instance.starts.size(); ++first) {
    const std::int64_t from = instance.starts[first].first;
    if (from < judged_from) {
      continue;
    }
    std::size_t last = first;
    while (last < instance.starts.size() && instance.starts[last].first < from + kSpanMicroseconds) {
      ++last;
    }
    const double allowed = allowedStarts(instance, from, from + kSpanMicroseconds);
    if (static_cast<double>(last - first) > allowed) {
      messages.push_back(name + " started " + std::to_string(last - first) + " requests in 4 s from " +
                         std::to_string(from) + ", its limits allow " + std::to_string(allowed));
      return;
    }
  }
}

std::optional<TimePoint> ConditionChecker::passedOnBy(const std::string& process, const std::string& name,
                                                      const Instance& instance) const {
  const auto found = leaving_passed_on_.find({process, serverOf(name)});
  if (found == leaving_passed_on_.end() || !instance.leaving_since) {
    return std::nullopt;
  }
  const TimePoint since{Duration(*instance.leaving_since)};
  const auto first = std::find_if(found->second.begin(), found->second.end(),
                                  [since](TimePoint received) { return received >= since; });
  return first == found->second.end() ? std::nullopt : std::optional(*first);
}

void ConditionChecker::checkLeaving(const std::string& name, const Instance& instance,
                                    std::vector<std::string>& messages) const {
  for (const auto& [at, id] : instance.starts) {
    const auto request = requests_.find(id);
    if (request == requests_.end()) {
      continue;
    }
    const std::optional<TimePoint> passed_on = passedOnBy(request->second.process, name, instance);
    if (passed_on && request->second.sent > *passed_on + drain_) {
      const std::string delay_us = std::to_string((request->second.sent - *passed_on).count());
      std::string& message = messages.emplace_back(name);
      message.append(" was leaving and started ").append(id);
      message.append(", sent ").append(delay_us).append(" us after its process had passed that on");
    }
  }
}

std::vector<std::string> ConditionChecker::violations() const {
  std::vector<std::string> messages;
  for (const auto& [name, instance] : instances_) {
    checkLimits(name, instance, messages);
    checkLeaving(name, instance, messages);
  }
  return messages;
}

std::size_t ConditionChecker::limitsNamed() const {
  std::size_t count = 0;
  for (const auto& [name, instance] : instances_) {
    count +=
        static_cast<std::size_t>(std::count_if(instance.limits.begin(), instance.limits.end(), [](const Limit& limit) {
          return limit.per_second < std::numeric_limits<double>::infinity();
        }));
  }
  return count;
}

std::size_t ConditionChecker::leavingServers() const {
  return static_cast<std::size_t>(std::count_if(
      instances_.begin(), instances_.end(), [](const auto& entry) { return entry.second.leaving_since.has_value(); }));
}

}  // namespace shedlever::check
