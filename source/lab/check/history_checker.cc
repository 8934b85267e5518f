#include "source/lab/check/history_checker.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace shedlever::check {

namespace {

constexpr int kOk = 200;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;
/// Two lines of different processes closer than this have no order.
constexpr std::int64_t kUnorderedWindowMicroseconds = 2000;

}  // namespace

void HistoryChecker::readLog(const std::string& path) {
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream words(line);
    std::int64_t at = 0;
    std::string instance;
    std::string event;
    words >> at >> instance >> event;
    if (event == "begin") {
      Execution run{at, instance, {}, -1, 0};
      words >> run.id >> run.key >> run.token;
      executions_.push_back(run);
    } else if (event == "take") {
      Acquisition take{at, instance, 0, 0, 0};
      words >> take.first >> take.last >> take.token;
      acquisitions_.push_back(take);
    }
  }
}

void HistoryChecker::checkRequests(std::vector<std::string>& broken) const {
  std::map<std::string, int> times;
  for (const Execution& run : executions_) {
    ++times[run.id];
  }
  for (const ClientRecord& record : records_) {
    const auto found = times.find(record.id);
    const int ran = found == times.end() ? 0 : found->second;
    if (record.at_most_once && ran > 1) {
      broken.push_back("once-only request " + record.id + " ran " + std::to_string(ran) + " times");
    }
    const bool refused = record.status == kUnavailable || record.status == kTooMany;
    if (record.at_most_once && refused && ran > 0) {
      broken.push_back("request " + record.id + " was refused as not run, and ran");
    }
    if (record.status == kOk && (ran == 0 || record.body != "answer to " + record.id)) {
      broken.push_back("request " + record.id + " got an answer that is not its own: " + record.body);
    }
  }
}

void HistoryChecker::checkTokenOrder(std::vector<std::string>& broken) const {
  std::vector<Execution> runs = executions_;
  std::sort(runs.begin(), runs.end(), [](const Execution& left, const Execution& right) { return left.at < right.at; });
  std::map<int, Execution> newest;
  for (const Execution& run : runs) {
    if (run.key < 0) {
      continue;
    }
    const auto [place, is_first] = newest.try_emplace(run.key, run);
    if (is_first) {
      continue;
    }
    if (run.token < place->second.token && run.at - place->second.at > kUnorderedWindowMicroseconds) {
      broken.push_back("key " + std::to_string(run.key) + ": " + run.instance + " ran " + run.id + " with token " +
                       std::to_string(run.token) + " after " + place->second.instance + " had run with " +
                       std::to_string(place->second.token));
    }
    if (run.token >= place->second.token) {
      place->second = run;
    }
  }
}

void HistoryChecker::checkAcquisitions(std::vector<std::string>& broken) const {
  std::vector<Acquisition> takes = acquisitions_;
  std::sort(takes.begin(), takes.end(),
            [](const Acquisition& left, const Acquisition& right) { return left.at < right.at; });
  constexpr int kKeys = 65536;
  std::vector<std::uint64_t> highest(kKeys, 0);
  std::vector<std::string> holder(kKeys);
  for (const Acquisition& take : takes) {
    bool bad = false;
    for (int key = take.first; key <= take.last; ++key) {
      bad = bad || (take.token <= highest[key] && holder[key] != take.instance);
      if (take.token >= highest[key]) {
        highest[key] = take.token;
        holder[key] = take.instance;
      }
    }
    if (bad) {
      broken.push_back(take.instance + " took keys " + std::to_string(take.first) + "-" + std::to_string(take.last) +
                       " with token " + std::to_string(take.token) + ", not above that of another server");
    }
  }
}

std::vector<std::string> HistoryChecker::violations() const {
  std::vector<std::string> broken;
  checkRequests(broken);
  checkTokenOrder(broken);
  checkAcquisitions(broken);
  return broken;
}

std::vector<std::string> HistoryChecker::interruptedRequests() const {
  std::set<std::string> begun;
  for (const Execution& run : executions_) {
    begun.insert(run.id);
  }
  std::vector<std::string> cut;
  for (const ClientRecord& record : records_) {
    const bool told = record.status == kOk || record.status == kUnavailable || record.status == kTooMany;
    if (!told && !record.timed_out && begun.contains(record.id)) {
      cut.push_back("request " + record.id + " was begun at a server, its client got " + std::to_string(record.status));
    }
  }
  return cut;
}

CheckCounts HistoryChecker::counts() const {
  CheckCounts counts;
  counts.requests = records_.size();
  for (const ClientRecord& record : records_) {
    counts.served += record.status == kOk ? 1 : 0;
    counts.refused += record.status == kUnavailable ? 1 : 0;
    counts.unanswered += record.status == 0 ? 1 : 0;
  }
  counts.executions = executions_.size();
  counts.acquisitions = acquisitions_.size();
  return counts;
}

std::size_t HistoryChecker::countExecutions(const std::string& id) const {
  return static_cast<std::size_t>(
      std::count_if(executions_.begin(), executions_.end(), [&id](const Execution& run) { return run.id == id; }));
}

std::size_t HistoryChecker::countInstances(const std::string& id_prefix) const {
  std::set<std::string> lives;
  for (const Execution& run : executions_) {
    if (run.id.starts_with(id_prefix)) {
      lives.insert(run.instance);
    }
  }
  return lives.size();
}

}  // namespace shedlever::check
