#include "source/core/router/split_picker.h"

#include <algorithm>
#include <numeric>

namespace shedlever {

namespace {

/// Steps that a new round may be advanced by.
constexpr std::size_t kLongestOffset = 100;

std::vector<std::uint32_t> weightsOf(const Route& route) {
  std::vector<std::uint32_t> weights;
  for (const ServiceShare& share : route.shares) {
    weights.push_back(share.weight);
  }
  return weights;
}

}  // namespace

std::size_t SplitPicker::next(Round& round) {
  const std::int64_t total = std::accumulate(round.weights.begin(), round.weights.end(), std::int64_t{0});
  for (std::size_t i = 0; i < round.weights.size(); ++i) {
    round.credit[i] += round.weights[i];
  }
  const auto best = std::max_element(round.credit.begin(), round.credit.end());
  *best -= total;
  return static_cast<std::size_t>(best - round.credit.begin());
}

SplitPicker::Round& SplitPicker::roundOf(const Route& route) {
  Round& round = rounds_[route.name];
  std::vector<std::uint32_t> weights = weightsOf(route);
  if (round.weights != weights) {
    round.weights = std::move(weights);
    round.credit.assign(round.weights.size(), 0);
    for (std::size_t i = 0; i < offset_ % kLongestOffset; ++i) {
      next(round);
    }
  }
  return round;
}

const ServiceName& SplitPicker::pick(const Route& route) {
  if (route.shares.size() == 1) {
    return route.shares.front().service;
  }
  return route.shares[next(roundOf(route))].service;
}

}  // namespace shedlever
