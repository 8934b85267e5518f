#include "source/lab/load/request_generator.h"

#include <algorithm>
#include <numeric>

namespace shedlever::load {

namespace {

/// Maximum number of at-most-once requests kept for repetition.
constexpr std::size_t kRepeatableLimit = 64;
/// A prime, so that successive shifts rarely make the same keys hot again.
constexpr std::uint64_t kRankShift = 7919;

}  // namespace

RequestGenerator::RequestGenerator(const LoadConfig& config)
    : config_(config), random_(config.seed), keys_(config.keys, config.skew) {}

template <class Target>
std::size_t RequestGenerator::pickWeighted(const std::vector<Target>& targets) {
  const auto add = [](double sum, const Target& target) { return sum + target.weight; };
  double left = random_.fraction() * std::accumulate(targets.begin(), targets.end(), 0.0, add);
  for (std::size_t i = 0; i + 1 < targets.size(); ++i) {
    left -= targets[i].weight;
    if (left < 0) {
      return i;
    }
  }
  return targets.size() - 1;
}

PlannedRequest RequestGenerator::generate() {
  PlannedRequest request;
  request.service = pickWeighted(config_.services);
  request.tenant = pickWeighted(config_.tenants);
  const ServiceTarget& service = config_.services[request.service];
  request.key = "key-" + std::to_string((keys_.rankAt(random_.fraction()) + rank_shift_) % config_.keys);
  request.target = service.path_prefix + request.key + "/item";
  request.body = "request " + std::to_string(sequence_) + " seed " + std::to_string(config_.seed) + " ";
  request.body.resize(std::max<std::size_t>(request.body.size(), config_.body_bytes), '.');
  if (service.at_most_once) {
    request.idempotency_key = IdempotencyKey("load-" + std::to_string(config_.seed) + "-" + std::to_string(sequence_));
  }
  return request;
}

void RequestGenerator::shiftHotKeys() { rank_shift_ = (rank_shift_ + kRankShift) % config_.keys; }

PlannedRequest RequestGenerator::next() {
  PlannedRequest request = generate();
  if (!request.idempotency_key.empty()) {
    const bool repeat = random_.fraction() < config_.repeat_ratio;
    if (repeat && !repeatable_.empty()) {
      request = repeatable_[random_.below(repeatable_.size())];
    } else if (repeatable_.size() < kRepeatableLimit) {
      repeatable_.push_back(request);
    } else {
      repeatable_[random_.below(kRepeatableLimit)] = request;
    }
  }
  request.gateway = random_.below(config_.gateways.size());
  request.sequence = sequence_++;
  return request;
}

}  // namespace shedlever::load
