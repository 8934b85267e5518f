#pragma once

/// @file
/// A tenant's limit for the requests that it sends through all nodes together.

namespace shedlever {

struct QuotaLimit {
  /// 0: no limit.
  double requests_per_second = 0;
  /// Requests that may be sent in addition after a pause.
  double burst = 0;

  bool limited() const { return requests_per_second > 0; }
};

}  // namespace shedlever
