#include "source/core/router/routes/traffic_splitter.h"

#include <algorithm>
#include <numeric>

namespace shedlever {

namespace {

/// A new round starts below this number of steps, so that large offsets stay cheap.
constexpr std::size_t kMaxOffsetSteps = 100;

std::vector<std::uint32_t> weightsOf(const Route& route) {
  std::vector<std::uint32_t> weights;
  for (const ServiceShare& share : route.shares) {
    weights.push_back(share.weight);
  }
  return weights;
}

}  // namespace

std::size_t TrafficSplitter::advance(RoundRobinState& state) {
  const std::int64_t total = std::accumulate(state.weights.begin(), state.weights.end(), std::int64_t{0});
  for (std::size_t i = 0; i < state.weights.size(); ++i) {
    state.credit[i] += state.weights[i];
  }
  const auto best = std::max_element(state.credit.begin(), state.credit.end());
  *best -= total;
  return static_cast<std::size_t>(best - state.credit.begin());
}

TrafficSplitter::RoundRobinState& TrafficSplitter::stateOf(const Route& route) {
  RoundRobinState& state = states_[route.name];
  std::vector<std::uint32_t> weights = weightsOf(route);
  if (state.weights != weights) {
    state.weights = std::move(weights);
    state.credit.assign(state.weights.size(), 0);
    for (std::size_t i = 0; i < offset_ % kMaxOffsetSteps; ++i) {
      advance(state);
    }
  }
  return state;
}

const ServiceName& TrafficSplitter::pick(const Route& route) {
  if (route.shares.size() == 1) {
    return route.shares.front().service;
  }
  return route.shares[advance(stateOf(route))].service;
}

}  // namespace shedlever
