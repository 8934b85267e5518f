#pragma once

/// @file
/// Whether a changed configuration comes into force at every node.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "source/net/event_loop.h"
#include "source/net/http_client.h"

namespace shedlever::soak {

/// @return path prefix of the route that only this version has.
std::string routePrefixOfVersion(std::uint64_t version);

/// Asks each node for the route that only the newest configuration has, until it is served.
class ConfigProbe {
 public:
  /// @param clients one to each node. All outlive this.
  ConfigProbe(EventLoop& loop, std::vector<std::unique_ptr<HttpClient>>& clients) : loop_(loop), clients_(clients) {}

  /// A version was written: questions for older ones end.
  void setExpectedVersion(std::uint64_t version) { version_ = version; }

  /// Asks all nodes for the version that was written last.
  void start();

  /// @return how many nodes were seen to have a changed configuration in force.
  std::size_t activeCount() const { return seen_in_force_; }
  /// @return what was broken: nodes at which a version was not in force in time.
  const std::vector<std::string>& violations() const { return broken_; }

 private:
  void sendProbe(std::size_t client, std::uint64_t version, Duration waited);
  void onResponse(std::size_t client, std::uint64_t version, Duration waited, const HttpExchange& exchange);

  EventLoop& loop_;
  std::vector<std::unique_ptr<HttpClient>>& clients_;
  std::uint64_t version_ = 0;
  std::uint64_t last_request_ = 0;
  std::size_t seen_in_force_ = 0;
  std::vector<std::string> broken_;
};

}  // namespace shedlever::soak
