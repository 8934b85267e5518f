#pragma once

/// @file
/// Splits the requests of a route among its services by weight.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "shedlever/router_config.h"

namespace shedlever {

/// Smooth weighted round robin. The number of requests per service stays close to its share at all times, so that short
/// samples match the weights as well as long ones.
class TrafficSplitter {
 public:
  /// @param offset position in the round at which this process starts, so that processes do not all start with the same
  ///   service.
  explicit TrafficSplitter(std::size_t offset) : offset_(offset) {}

  /// @param route must have at least one share.
  const ServiceName& pick(const Route& route);

 private:
  struct RoundRobinState {
    std::vector<std::uint32_t> weights;
    std::vector<std::int64_t> credit;
  };

  static std::size_t advance(RoundRobinState& state);
  RoundRobinState& stateOf(const Route& route);

  std::size_t offset_;
  /// States by route name. A route whose weights change starts a new round.
  std::map<std::string, RoundRobinState> states_;
};

}  // namespace shedlever
