#pragma once

/// @file
/// Requests under which servers end, as clients bring them: the same words at machines of several services.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "source/lab/check/run_checks.h"
#include "source/net/http_client.h"

namespace shedlever::soak {

/// Path of such a request; servers end when they have worked on it.
inline constexpr const char* kFatalPath = "/search/fatal";

/// Two of them, told apart by their query: one comes at one machine after the other, the other at all machines at once,
/// again and again. Each may cost three servers in all, whatever machines it came in by.
class FatalRequests {
 public:
  /// @param clients one to each machine; outlive this.
  explicit FatalRequests(std::vector<std::unique_ptr<HttpClient>>& clients) : clients_(clients) {}

  /// Sends the next round: the one request at the next machine, the other at all of them.
  void sendRound();

  /// @return what was broken: a request at which more lives of servers ended than may.
  std::vector<std::string> violations(const check::HistoryChecker& checks) const;

 private:
  void send(std::size_t client, const std::string& name, const std::string& key);

  std::vector<std::unique_ptr<HttpClient>>& clients_;
  std::size_t rounds_ = 0;
  std::uint64_t last_request_ = 0;
};

}  // namespace shedlever::soak
