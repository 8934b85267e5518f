#pragma once

/// @file
/// Checks that every node activates a changed configuration in time.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "source/net/event_loop.h"
#include "source/net/http_client.h"

namespace shedlever::soak {

/// @return the path prefix of the route that only this configuration version contains.
std::string routePrefixOfVersion(std::uint64_t version);

/// Requests, at each node, the route that only the newest configuration contains, until the node no longer answers 404.
class ConfigProbe {
 public:
  /// @param clients one per node; the loop and the clients must outlive the probe.
  ConfigProbe(EventLoop& loop, std::vector<std::unique_ptr<HttpClient>>& clients) : loop_(loop), clients_(clients) {}

  /// Sets the version that was written last; probes for older versions end.
  void setExpectedVersion(std::uint64_t version) { version_ = version; }

  /// Starts probing all nodes for the version that was written last.
  void start();

  /// @return the number of probes that found the expected version active at a node.
  std::size_t activeCount() const { return active_count_; }
  /// @return one sentence for each node that did not activate a version in time.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  void sendProbe(std::size_t client, std::uint64_t version, Duration waited);
  void onResponse(std::size_t client, std::uint64_t version, Duration waited, const HttpExchangeResult& exchange);

  EventLoop& loop_;
  std::vector<std::unique_ptr<HttpClient>>& clients_;
  std::uint64_t version_ = 0;
  std::uint64_t last_request_ = 0;
  std::size_t active_count_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace shedlever::soak
