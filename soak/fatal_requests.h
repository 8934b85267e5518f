#pragma once

/// @file
/// Sends requests that crash servers: the same request, from clients of several services' nodes.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "source/lab/check/history_checker.h"
#include "source/net/http_client.h"

namespace shedlever::soak {

/// Path of a fatal request; a server crashes when it has executed one.
inline constexpr const char* kFatalPath = "/search/fatal";

/// Repeats two fatal requests that differ in their query: one goes to a single node at a time in turn, the other to all
/// nodes at once. Each may crash at most three server instances in total, whichever nodes receive it.
class FatalRequests {
 public:
  /// @param clients one per node; must outlive this object.
  explicit FatalRequests(std::vector<std::unique_ptr<HttpClient>>& clients) : clients_(clients) {}

  /// Sends the next round. The first rounds send the one request to the next node, all later rounds send the other
  /// request to every node.
  void sendRound();

  /// @return one sentence for each request that crashed too many server instances, or that reached none.
  std::vector<std::string> violations(const check::HistoryChecker& checks) const;

 private:
  void send(std::size_t client, const std::string& name, const std::string& key);

  std::vector<std::unique_ptr<HttpClient>>& clients_;
  std::size_t rounds_ = 0;
  std::uint64_t last_request_ = 0;
};

}  // namespace shedlever::soak
