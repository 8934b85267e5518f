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
/// Log lines of different processes that are closer together than this have no defined order.
constexpr std::int64_t kUnorderedWindowMicroseconds = 2000;

}  // namespace

void HistoryChecker::readLog(const std::string& path) {
  std::ifstream file(path);
  const std::size_t log = logs_++;
  std::string line;
  while (std::getline(file, line)) {
    holds_.addLine(log, line);
    std::istringstream words(line);
    std::int64_t at = 0;
    std::string instance;
    std::string event;
    words >> at >> instance >> event;
    if (event == "begin") {
      Execution execution{at, instance, {}, -1, 0};
      words >> execution.id >> execution.key >> execution.token;
      executions_.push_back(execution);
    } else if (event == "take") {
      ++acquisitions_;
    }
  }
}

void HistoryChecker::checkRequests(std::vector<std::string>& messages) const {
  std::map<std::string, int> execution_counts;
  for (const Execution& execution : executions_) {
    ++execution_counts[execution.id];
  }
  for (const ClientRecord& record : records_) {
    const auto found = execution_counts.find(record.id);
    const int ran = found == execution_counts.end() ? 0 : found->second;
    if (record.at_most_once && ran > 1) {
      messages.push_back("once-only request " + record.id + " ran " + std::to_string(ran) + " times");
    }
    const bool refused = record.status == kUnavailable || record.status == kTooMany;
    if (record.at_most_once && refused && ran > 0) {
      messages.push_back("request " + record.id + " was refused as not run, and ran");
    }
    if (record.status == kOk && (ran == 0 || record.body != "answer to " + record.id)) {
      messages.push_back("request " + record.id + " got an answer that is not its own: " + record.body);
    }
  }
}

void HistoryChecker::checkTokenOrder(std::vector<std::string>& messages) const {
  std::vector<Execution> executions = executions_;
  std::sort(executions.begin(), executions.end(),
            [](const Execution& left, const Execution& right) { return left.at < right.at; });
  std::map<int, Execution> newest;
  for (const Execution& execution : executions) {
    if (execution.key < 0) {
      continue;
    }
    const auto [entry, is_first] = newest.try_emplace(execution.key, execution);
    if (is_first) {
      continue;
    }
    if (execution.token < entry->second.token && execution.at - entry->second.at > kUnorderedWindowMicroseconds) {
      messages.push_back("key " + std::to_string(execution.key) + ": " + execution.instance + " ran " + execution.id +
                         " with token " + std::to_string(execution.token) + " after " + entry->second.instance +
                         " had run with " + std::to_string(entry->second.token));
    }
    if (execution.token >= entry->second.token) {
      entry->second = execution;
    }
  }
}

std::vector<std::string> HistoryChecker::violations() const {
  std::vector<std::string> messages;
  checkRequests(messages);
  checkTokenOrder(messages);
  const std::vector<std::string> hold_violations = holds_.violations();
  messages.insert(messages.end(), hold_violations.begin(), hold_violations.end());
  return messages;
}

std::vector<std::string> HistoryChecker::interruptedRequests() const {
  std::set<std::string> started;
  for (const Execution& execution : executions_) {
    started.insert(execution.id);
  }
  std::vector<std::string> interrupted;
  for (const ClientRecord& record : records_) {
    // False refusals of at-most-once requests are violations already, whatever happened to the system.
    const bool refused = record.status == kUnavailable || record.status == kTooMany;
    const bool has_definite_status = record.status == kOk || (refused && record.at_most_once);
    if (!has_definite_status && !record.timed_out && started.contains(record.id)) {
      interrupted.push_back("request " + record.id + " was begun at a server, its client got " +
                            std::to_string(record.status));
    }
  }
  return interrupted;
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
  counts.acquisitions = acquisitions_;
  return counts;
}

std::size_t HistoryChecker::countExecutions(const std::string& id) const {
  return static_cast<std::size_t>(std::count_if(executions_.begin(), executions_.end(),
                                                [&id](const Execution& execution) { return execution.id == id; }));
}

std::size_t HistoryChecker::countInstances(const std::string& id_prefix) const {
  std::set<std::string> instances;
  for (const Execution& execution : executions_) {
    if (execution.id.starts_with(id_prefix)) {
      instances.insert(execution.instance);
    }
  }
  return instances.size();
}

}  // namespace shedlever::check
