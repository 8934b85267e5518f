#pragma once

/// @file
/// Checks the promises from what clients saw and what servers wrote into their logs.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "shedlever/time.h"

namespace shedlever::check {

/// How a client's request ended, as the client saw it.
struct ClientRecord {
  std::string id;
  bool at_most_once = false;
  /// 0: no answer.
  int status = 0;
  std::string body;
  /// Its time was over before it ended.
  bool timed_out = false;
};

/// Counts of one run, for its summary.
struct CheckCounts {
  std::size_t requests = 0;
  std::size_t served = 0;
  std::size_t refused = 0;
  std::size_t unanswered = 0;
  std::size_t executions = 0;
  std::size_t acquisitions = 0;
};

class HistoryChecker {
 public:
  void addClientRecord(const ClientRecord& record) { records_.push_back(record); }

  /// Reads a server's log: lines "microseconds instance event ...".
  void readLog(const std::string& path);

  /// @return what was broken, one sentence each:
  ///   a once-only request ran twice; a refused one ran; an answer is not the server's to this request; a key's runs
  ///   went back to a lower token, so that an owner before the present one still ran; a server took a key with a token
  ///   that is not above those of others before.
  std::vector<std::string> violations() const;

  /// @return requests that a server had begun and whose clients were told of a failure, or nothing, though they had
  /// time
  ///   left, one sentence each. Where nothing but planned work happens there must be none.
  std::vector<std::string> interruptedRequests() const;

  CheckCounts counts() const;

  /// @return how often servers began the request.
  std::size_t countExecutions(const std::string& id) const;

  /// @return how many lives of servers began requests whose ids begin so.
  std::size_t countInstances(const std::string& id_prefix) const;

 private:
  struct Execution {
    std::int64_t at = 0;
    std::string instance;
    std::string id;
    int key = -1;
    std::uint64_t token = 0;
  };
  struct Acquisition {
    std::int64_t at = 0;
    std::string instance;
    int first = 0;
    int last = 0;
    std::uint64_t token = 0;
  };

  void checkRequests(std::vector<std::string>& broken) const;
  void checkTokenOrder(std::vector<std::string>& broken) const;
  void checkAcquisitions(std::vector<std::string>& broken) const;

  std::vector<ClientRecord> records_;
  std::vector<Execution> executions_;
  std::vector<Acquisition> acquisitions_;
};

}  // namespace shedlever::check
