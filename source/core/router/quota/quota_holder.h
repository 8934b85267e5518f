#pragma once

/// @file
/// Holds the quotas of tenants at one node: a token bucket for each tenant, from which the gateways of all nodes take
/// tokens before they send a request of the tenant to a server.

#include <cstdint>
#include <map>

#include "shedlever/identifiers.h"
#include "shedlever/quota_limit.h"
#include "shedlever/time.h"

namespace shedlever {

/// Answer to a request for tokens.
struct QuotaGrant {
  std::uint32_t granted = 0;
  /// When the next token is expected to be free for a request that gets none now.
  Duration retry_after{};
};

class QuotaHolder {
 public:
  /// @param wanted number of tokens that a gateway asks for.
  /// @param returned tokens that the gateway got before and has not used.
  /// @param share of the tenant's rate that this holder may grant, from 0 to 1; less than 1 while nodes are unreachable
  ///   that may be served by another holder.
  QuotaGrant grant(const TenantName& tenant, const QuotaLimit& limit, std::uint32_t wanted, std::uint32_t returned,
                   double share, TimePoint now);

  /// Forgets tenants whose bucket has not been used for a while.
  void removeUnused(TimePoint now);

  std::size_t tenantCount() const { return buckets_.size(); }

 private:
  struct Bucket {
    double tokens = 0;
    /// Refused requests whose retry delay counts on tokens that are still to be gained.
    double promised = 0;
    TimePoint updated{};
  };

  static void refill(Bucket& bucket, const QuotaLimit& limit, double rate, TimePoint now);

  std::map<TenantName, Bucket> buckets_;
};

}  // namespace shedlever
