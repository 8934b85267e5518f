#pragma once

/// @file
/// Limits what this process sends to servers beyond the first send of each request. The limit is one sum over all
/// processes; each spends from the share of its own requests and its part of the common slack, so that the sum holds
/// without any talk between them.

#include <cstddef>
#include <map>

#include "shedlever/identifiers.h"

namespace shedlever {

struct RetryBudgetConfig {
  /// Repeats allowed for each request.
  double ratio = 0.1;
  /// Repeats allowed besides, for all processes together, in one window.
  double slack = 0;
};

/// One bucket a service. A bucket never holds more than this process's part of the slack, so in any window no more
/// is spent than that part and the ratio of the window's requests.
class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(const RetryBudgetConfig& config) : config_(config) {}

  void setConfig(const RetryBudgetConfig& config) { config_ = config; }

  /// A service that has a budget of its own.
  void setServiceConfig(const ServiceName& service, const RetryBudgetConfig& config) { configs_[service] = config; }

  /// @param processes how many share the slack.
  void setProcessCount(std::size_t process_count) { process_count_ = process_count; }

  /// A request for the service begins.
  void onRequest(const ServiceName& service);

  /// Takes one repeat from the budget.
  /// @return false when there is none left; nothing was taken.
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
