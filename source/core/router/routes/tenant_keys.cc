#include "source/core/router/routes/tenant_keys.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <limits>

#include "source/core/sha256.h"

namespace shedlever {

ApiKeyDigest digestOfApiKey(std::string_view key) { return sha256(key); }

TenantShare shareOf(const Tenant& tenant) {
  TenantShare share;
  share.name = tenant.name;
  const double max = std::numeric_limits<std::uint32_t>::max();
  share.weight = static_cast<std::uint32_t>(std::clamp(std::round(tenant.quota.requests_per_second), 1.0, max));
  return share;
}

std::size_t TenantKeys::DigestHash::operator()(const ApiKeyDigest& digest) const {
  std::size_t hash = 0;
  std::memcpy(&hash, digest.data(), sizeof(hash));
  return hash;
}

TenantKeys::TenantKeys(const std::vector<Tenant>& tenants) {
  for (const Tenant& tenant : tenants) {
    for (const ApiKeyDigest& digest : tenant.api_keys) {
      tenants_.emplace(digest, &tenant);
    }
  }
}

const Tenant* TenantKeys::find(std::string_view key) const {
  const auto found = tenants_.find(digestOfApiKey(key));
  return found == tenants_.end() ? nullptr : found->second;
}

}  // namespace shedlever
