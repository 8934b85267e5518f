#pragma once

/// @file
/// The order in which waiting requests of several tenants get a server's slots: start-time fair queueing after P.
/// Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing" (1996), section 2, with a cost of one for each request.

#include <map>

#include "shedlever/router_frames.h"

namespace shedlever {

/// While several tenants have requests waiting, each is served in proportion to its weight, however many it sends.
class TenantFairScheduler {
 public:
  /// @return the turn that the tenant's next request would get; lower ones are served first.
  double nextStartTag(const TenantShare& tenant) const;

  /// The tenant's next request waits with that turn.
  void onQueued(const TenantShare& tenant);

  /// A request with that turn is served.
  void onServed(double start_tag);

  /// Nothing waits any more: no tenant is ahead of another.
  void reset();

 private:
  /// Turn of the request served last.
  double virtual_time_ = 0;
  /// Where each tenant's next request stands at the earliest.
  std::map<TenantName, double> next_start_tags_;
};

}  // namespace shedlever
