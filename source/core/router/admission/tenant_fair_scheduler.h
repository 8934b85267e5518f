#pragma once

/// @file
/// Orders the waiting requests of several tenants by start-time fair queueing, after P. Goyal, H. Vin, H. Cheng,
/// "Start-time Fair Queueing" (1996), section 2, with a cost of one for each request.

#include <map>

#include "shedlever/router_frames.h"

namespace shedlever {

/// While several tenants have waiting requests, each is served in proportion to its weight, however many it sends.
class TenantFairScheduler {
 public:
  /// @return the start tag of the tenant's next request; lower tags are served first.
  double nextStartTag(const TenantShare& tenant) const;

  /// Call when the tenant's next request is queued with its start tag.
  void onQueued(const TenantShare& tenant);

  /// Call when a request with this start tag starts.
  void onServed(double start_tag);

  /// Discards all tags; call when no request waits.
  void reset();

 private:
  /// Highest start tag of the requests served so far.
  double virtual_time_ = 0;
  /// Lower bound of each tenant's next start tag.
  std::map<TenantName, double> next_start_tags_;
};

}  // namespace shedlever
