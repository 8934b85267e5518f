#pragma once

/// @file
/// Checks the guarantees of the router against the results that clients received and the logs of the servers.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "shedlever/time.h"
#include "source/lab/check/hold_checker.h"

namespace shedlever::check {

/// Result of one request as its client received it.
struct ClientRecord {
  std::string id;
  bool at_most_once = false;
  /// HTTP status; 0 if the client received no response.
  int status = 0;
  std::string body;
  /// The request's deadline passed before it ended.
  bool timed_out = false;
};

/// Totals for the summary of a run.
struct CheckCounts {
  std::size_t requests = 0;
  std::size_t served = 0;
  std::size_t refused = 0;
  std::size_t unanswered = 0;
  std::size_t executions = 0;
  std::size_t acquisitions = 0;
};

/// Collects client records and server logs of one run and reports where they contradict the guarantees.
class HistoryChecker {
 public:
  void addClientRecord(const ClientRecord& record) { records_.push_back(record); }

  /// Adds the events of a server's log, whose lines have the form "microseconds instance event ..."; `HoldChecker` says
  /// which events are read. Unknown ones are ignored.
  void readLog(const std::string& path);

  /// @return one message for each violation: an at-most-once request was executed more than once; an at-most-once
  ///   request was refused although it was executed; a successful response does not belong to its request; a request
  ///   for a key was executed with a lower token than an earlier one, so that a previous owner was still active; and
  ///   those of `HoldChecker`.
  std::vector<std::string> violations() const;

  /// @return one message for each request that a server started, before or after its client was answered, and whose
  ///   client got neither its response nor a status that `violations` judges before its deadline: the router's own
  ///   answer in place of the server's, or none. Planned operations alone must not cause any.
  std::vector<std::string> interruptedRequests() const;

  CheckCounts counts() const;

  /// @return how often servers started to execute the request.
  std::size_t countExecutions(const std::string& id) const;

  /// @return the number of server instances that started requests whose ids have the prefix.
  std::size_t countInstances(const std::string& id_prefix) const;

 private:
  struct Execution {
    std::int64_t at = 0;
    std::string instance;
    std::string id;
    int key = -1;
    std::uint64_t token = 0;
  };
  void checkRequests(std::vector<std::string>& messages) const;
  void checkTokenOrder(std::vector<std::string>& messages) const;

  std::vector<ClientRecord> records_;
  std::vector<Execution> executions_;
  HoldChecker holds_;
  std::size_t acquisitions_ = 0;
  std::size_t logs_ = 0;
};

}  // namespace shedlever::check
