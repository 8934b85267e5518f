#pragma once

/// @file
/// Finds the tenant that an API key belongs to. Only digests of the keys are kept.

#include <string_view>
#include <unordered_map>
#include <vector>

#include "shedlever/router_config.h"
#include "shedlever/router_frames.h"

namespace shedlever {

/// @return the digest under which a key is looked up.
ApiKeyDigest digestOfApiKey(std::string_view key);

/// @return the tenant's share of a server's queue: in proportion to the rate that the tenant may send.
TenantShare shareOf(const Tenant& tenant);

class TenantKeys {
 public:
  /// A key of several tenants belongs to the first of them.
  /// @param tenants must outlive this object and must not change.
  explicit TenantKeys(const std::vector<Tenant>& tenants);

  /// The key is looked up by its digest, so the time of a lookup reveals nothing about other keys.
  /// @return the tenant with this key; null if there is none.
  const Tenant* find(std::string_view key) const;

 private:
  struct DigestHash {
    std::size_t operator()(const ApiKeyDigest& digest) const;
  };

  std::unordered_map<ApiKeyDigest, const Tenant*, DigestHash> tenants_;
};

}  // namespace shedlever
