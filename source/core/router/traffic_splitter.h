#pragma once

/// @file
/// Divides the requests of a route among its services by weight.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "shedlever/router_config.h"

namespace shedlever {

/// Smooth weighted round robin: after any number of requests each part is less than one request off its share for
/// every other part, so that short samples match the weights as well as long ones.
class TrafficSplitter {
 public:
  /// @param offset where in the round this process begins, so that many processes don't begin alike.
  explicit TrafficSplitter(std::size_t offset) : offset_(offset) {}

  /// @param route has at least one share.
  const ServiceName& pick(const Route& route);

 private:
  struct RoundRobinState {
    std::vector<std::uint32_t> weights;
    std::vector<std::int64_t> credit;
  };

  static std::size_t advance(RoundRobinState& state);
  RoundRobinState& stateOf(const Route& route);

  std::size_t offset_;
  /// By route name. A route whose weights change begins a new round.
  std::map<std::string, RoundRobinState> states_;
};

}  // namespace shedlever
