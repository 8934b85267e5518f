#pragma once

/// @file
/// Generates the requests of a load from a seed.

#include <cstdint>
#include <string>
#include <vector>

#include "source/lab/load/load_config.h"
#include "source/lab/load/random_stream.h"
#include "source/lab/load/zipf_distribution.h"

namespace shedlever::load {

/// A request to be sent.
struct PlannedRequest {
  std::uint64_t sequence = 0;
  /// `service`, `tenant` and `gateway` are indexes into the lists of the load's configuration.
  std::size_t service = 0;
  std::size_t tenant = 0;
  std::size_t gateway = 0;
  std::string key;
  std::string target;
  /// Unique, except among requests with the same idempotency key.
  std::string body;
  /// Empty unless the service requires at-most-once execution.
  IdempotencyKey idempotency_key;
};

class RequestGenerator {
 public:
  explicit RequestGenerator(const LoadConfig& config);

  PlannedRequest next();

  /// Shifts the ranks of all keys, so that other keys become the hot ones.
  void shiftHotKeys();

 private:
  template <class Target>
  std::size_t pickWeighted(const std::vector<Target>& targets);
  PlannedRequest generate();

  LoadConfig config_;
  RandomStream random_;
  ZipfDistribution keys_;
  std::uint64_t sequence_ = 0;
  /// Offset added to each rank, modulo the number of keys.
  std::uint64_t rank_shift_ = 0;
  /// Bounded sample of at-most-once requests for repetition.
  std::vector<PlannedRequest> repeatable_;
};

}  // namespace shedlever::load
