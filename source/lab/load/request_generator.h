#pragma once

/// @file
/// Makes the requests of a load: service, tenant, gateway, key and body, from a seed.

#include <cstdint>
#include <string>
#include <vector>

#include "source/lab/load/load_config.h"
#include "source/lab/load/random_stream.h"
#include "source/lab/load/zipf_distribution.h"

namespace shedlever::load {

/// One request to be made.
struct PlannedRequest {
  std::uint64_t sequence = 0;
  /// Indexes into the lists of the load's configuration.
  std::size_t service = 0;
  std::size_t tenant = 0;
  std::size_t gateway = 0;
  std::string key;
  std::string target;
  /// Differs from the body of every other request but those with the same idempotency key.
  std::string body;
  /// Empty unless the service is once-only.
  IdempotencyKey idempotency_key;
};

class RequestGenerator {
 public:
  explicit RequestGenerator(const LoadConfig& config);

  PlannedRequest next();

  /// Shifts the ranks of all keys, so that other keys are hot from now on.
  void shiftHotKeys();

 private:
  template <class Target>
  std::size_t pickWeighted(const std::vector<Target>& targets);
  PlannedRequest generate();

  LoadConfig config_;
  RandomStream random_;
  ZipfDistribution keys_;
  std::uint64_t sequence_ = 0;
  /// Added to each rank, modulo the number of keys.
  std::uint64_t rank_shift_ = 0;
  /// Last once-only requests, to be repeated; bounded.
  std::vector<PlannedRequest> repeatable_;
};

}  // namespace shedlever::load
