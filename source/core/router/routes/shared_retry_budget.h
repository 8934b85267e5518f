#pragma once

/// @file
/// Limits the retries that this process sends to servers. The limit applies to the sum over all processes: each process
/// may spend a ratio of its own requests and its part of the common slack, so the sum holds without coordination.

#include <cstddef>
#include <map>

#include "shedlever/identifiers.h"

namespace shedlever {

struct RetryBudgetConfig {
  /// Retries allowed per request.
  double ratio = 0.1;
  /// Additional retries allowed for all processes together in one window.
  double slack = 0;
};

/// One token bucket per service. A bucket holds at most this process's part of the slack, or one retry if that is more.
/// In any window no more is spent than the bucket's capacity and the ratio of the window's requests.
class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(const RetryBudgetConfig& config) : config_(config) {}

  void setConfig(const RetryBudgetConfig& config) { config_ = config; }

  /// Sets the budget of one service, which replaces the common configuration for that service.
  void setServiceConfig(const ServiceName& service, const RetryBudgetConfig& config) { configs_[service] = config; }

  /// @param process_count number of processes that share the slack.
  void setProcessCount(std::size_t process_count) { process_count_ = process_count; }

  /// Call when a request for the service arrives.
  void onRequest(const ServiceName& service);

  /// Takes one retry from the budget.
  /// @return false if none is left; nothing was taken.
  bool trySpend(const ServiceName& service);

 private:
  const RetryBudgetConfig& configOf(const ServiceName& service) const;
  double capacity(const ServiceName& service) const;
  double& bucketOf(const ServiceName& service);

  RetryBudgetConfig config_;
  std::map<ServiceName, RetryBudgetConfig> configs_;
  std::size_t process_count_ = 1;
  std::map<ServiceName, double> buckets_;
};

}  // namespace shedlever
