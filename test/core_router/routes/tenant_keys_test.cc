/// @file
/// Lookup of tenants by API key.

#include "source/core/router/routes/tenant_keys.h"

#include <gtest/gtest.h>

#include <string>

namespace shedlever::test {
namespace {

Tenant tenant(const std::string& name, const std::vector<std::string>& keys) {
  Tenant made;
  made.name = TenantName(name);
  for (const std::string& key : keys) {
    made.api_keys.push_back(digestOfApiKey(key));
  }
  return made;
}

TEST(TenantKeysTest, EachKeyOfATenantFindsIt) {
  const std::vector<Tenant> tenants = {tenant("a", {"key-1", "key-2"}), tenant("b", {"key-3"}), tenant("none", {})};
  const TenantKeys keys(tenants);
  EXPECT_EQ(keys.find("key-1"), tenants.data());
  EXPECT_EQ(keys.find("key-2"), tenants.data());
  EXPECT_EQ(keys.find("key-3"), &tenants[1]);
}

// Guards against keys that only resemble a valid one being accepted.
TEST(TenantKeysTest, OtherTextsFindNoTenant) {
  const std::vector<Tenant> tenants = {tenant("a", {"key-1"})};
  const TenantKeys keys(tenants);
  for (const std::string& text : {std::string(), std::string("key"), std::string("key-1 "), std::string("KEY-1"),
                                  std::string("key-1\0", 6), std::string(64 << 10, 'k')}) {
    EXPECT_EQ(keys.find(text), nullptr) << text.substr(0, 10);
  }
}

TEST(TenantKeysTest, KeyOfSeveralTenantsBelongsToTheFirst) {
  const std::vector<Tenant> tenants = {tenant("a", {"shared"}), tenant("b", {"shared"})};
  EXPECT_EQ(TenantKeys(tenants).find("shared"), tenants.data());
}

TEST(TenantKeysTest, ShareFollowsTheTenantsRate) {
  Tenant limited = tenant("a", {});
  limited.quota.requests_per_second = 128;
  EXPECT_EQ(shareOf(limited).weight, 128U);
  EXPECT_EQ(shareOf(limited).name, limited.name);
  EXPECT_EQ(shareOf(tenant("b", {})).weight, 1U);
}

}  // namespace
}  // namespace shedlever::test
