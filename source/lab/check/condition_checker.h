#pragma once

/// @file
/// Checks that servers got no more requests than they named in their responses, and none after they had said that they
/// were leaving.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "shedlever/time.h"

namespace shedlever::check {

/// Judges by the servers' logs, whose lines have the form "microseconds instance event ...": "begin ID ..." for each
/// request that a server starts, "limit NUMBER" when a response first names this limit ("-": none any more), and
/// "leaving" when one first says that the server is leaving.
class ConditionChecker {
 public:
  /// @param drain how long a leaving server may still get requests.
  explicit ConditionChecker(Duration drain) : drain_(drain) {}

  void readLog(const std::string& path);
  void readLine(const std::string& line);

  /// A client sent a request to this router process.
  void addRequest(const std::string& id, const std::string& process, TimePoint sent);
  /// A client got a response from this router process in which the server says that it is leaving.
  /// @param server id without the time of its start.
  void addLeavingResponse(const std::string& process, const std::string& server, TimePoint received);

  /// @return one message for each violation: a server started more requests in 4 s, from 0.5 s after it had named a
  ///   limit, than one and a half times the limit allows plus 5; a server that was leaving started a request that its
  ///   client sent to a process later than the drain time after that process had passed on a response that says so.
  std::vector<std::string> violations() const;

  /// @return the number of limits that servers have named.
  std::size_t limitsNamed() const;
  /// @return the number of servers that have said that they were leaving.
  std::size_t leavingServers() const;

 private:
  struct Limit {
    std::int64_t from = 0;
    /// Requests per second; infinite if none is named.
    double per_second = 0;
  };
  struct Instance {
    std::vector<Limit> limits;
    /// When a response first said that the instance is leaving, in microseconds.
    std::optional<std::int64_t> leaving_since;
    /// Start times of its requests, in microseconds, and their ids.
    std::vector<std::pair<std::int64_t, std::string>> starts;
  };
  struct Request {
    std::string process;
    TimePoint sent{};
  };

  static double allowedStarts(const Instance& instance, std::int64_t from, std::int64_t until);
  static void checkLimits(const std::string& name, const Instance& instance, std::vector<std::string>& messages);
  /// @return when the process first passed on that the instance is leaving; std::nullopt if it has not.
  std::optional<TimePoint> passedOnBy(const std::string& process, const std::string& name,
                                      const Instance& instance) const;
  void checkLeaving(const std::string& name, const Instance& instance, std::vector<std::string>& messages) const;

  Duration drain_;
  std::map<std::string, Instance> instances_;
  std::map<std::string, Request> requests_;
  /// When a process passed on that a server is leaving, by process and server. Several instances may share an id.
  std::map<std::pair<std::string, std::string>, std::vector<TimePoint>> leaving_passed_on_;
};

}  // namespace shedlever::check
