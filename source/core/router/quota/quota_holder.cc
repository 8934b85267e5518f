#include "source/core/router/quota/quota_holder.h"

#include <algorithm>
#include <cmath>

namespace shedlever {

namespace {

/// Part of the burst that a new holder may grant at once: another one may just have granted the rest.
constexpr double kInitialBurstShare = 0.25;
/// Longest retry delay that a refused request gets.
constexpr double kMaxRetrySeconds = 2.0;
constexpr Duration kUnusedAfter = std::chrono::seconds(60);

double capacityOf(const QuotaLimit& limit) { return std::max(limit.burst, 1.0); }

double secondsBetween(TimePoint from, TimePoint to) { return std::chrono::duration<double>(to - from).count(); }

}  // namespace

void QuotaHolder::refill(Bucket& bucket, const QuotaLimit& limit, double rate, TimePoint now) {
  const double capacity = capacityOf(limit);
  if (bucket.updated == TimePoint{}) {
    bucket.tokens = std::max(1.0, capacity * kInitialBurstShare);
  } else {
    const double gained = rate * std::max(0.0, secondsBetween(bucket.updated, now));
    bucket.tokens += gained;
    bucket.promised = std::max(0.0, bucket.promised - gained);
  }
  bucket.tokens = std::min(bucket.tokens, capacity);
  bucket.updated = now;
}

QuotaGrant QuotaHolder::grant(const TenantName& tenant, const QuotaLimit& limit, std::uint32_t wanted,
                              std::uint32_t returned, double share, TimePoint now) {
  const double rate = limit.requests_per_second * std::clamp(share, 0.0, 1.0);
  Bucket& bucket = buckets_[tenant];
  refill(bucket, limit, rate, now);
  bucket.tokens = std::min(bucket.tokens + returned, capacityOf(limit));
  QuotaGrant grant;
  grant.granted = static_cast<std::uint32_t>(std::min<double>(wanted, std::floor(bucket.tokens)));
  bucket.tokens -= grant.granted;
  if (grant.granted < wanted) {
    bucket.promised += wanted - grant.granted;
    const double missing = 1.0 - bucket.tokens + bucket.promised;
    const double seconds = rate > 0 ? std::min(missing / rate, kMaxRetrySeconds) : kMaxRetrySeconds;
    bucket.promised = std::min(bucket.promised, kMaxRetrySeconds * rate);
    grant.retry_after = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  }
  return grant;
}

void QuotaHolder::removeUnused(TimePoint now) {
  std::erase_if(buckets_, [now](const auto& entry) { return now - entry.second.updated > kUnusedAfter; });
}

}  // namespace shedlever
