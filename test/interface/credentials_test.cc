#include "source/interface/credentials.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace shedlever {
namespace {

TenantSettings tenantWithDigest(const std::string& hex) {
  TenantSettings tenant;
  tenant.credential_sha256 = hex;
  return tenant;
}

/// SHA-256 of "alpha" and "beta".
constexpr const char* kAlpha = "8ed3f6ad685b959ead7022518e1af76cd816f8e8ec7ccdda1ed4018e8f2223f8";
constexpr const char* kBeta = "f44e64e75f3948e9f73f8dfa94721c4ce8cbb4f265c4790c702b2d41cfbf2753";

TEST(Credentials, BearerCredentialRequiresExactlyOneValidHeader) {
  struct Row {
    std::vector<HttpHeader> headers;
    std::optional<std::string_view> credential;
  };
  const Row rows[] = {
      {{{"Authorization", "Bearer alpha"}}, "alpha"},
      {{{"authorization", "bEARER   alpha"}}, "alpha"},
      {{}, std::nullopt},
      {{{"Authorization", "Basic alpha"}}, std::nullopt},
      {{{"Authorization", "Bearer"}}, std::nullopt},
      {{{"Authorization", "Bearer   "}}, std::nullopt},
      {{{"Authorization", "Bearer alpha"}, {"Authorization", "Bearer beta"}}, std::nullopt},
  };
  for (const Row& row : rows) {
    EXPECT_EQ(bearerCredential(row.headers), row.credential);
  }
}

RC_GTEST_PROP(Credentials, TenantIsFoundOnlyByItsExactCredential, (const std::string& guess)) {
  const std::vector<TenantSettings> tenants = {tenantWithDigest(kAlpha), tenantWithDigest("abcd"), tenantWithDigest(""),
                                               tenantWithDigest(kBeta), tenantWithDigest(std::string(64, 'g'))};
  RC_ASSERT(findTenant("alpha", tenants) == &tenants[0]);
  RC_ASSERT(findTenant("beta", tenants) == &tenants[3]);
  RC_ASSERT(findTenant(guess, tenants) == nullptr);
  // A digest that differs in one digit must not match.
  std::string altered = kAlpha;
  char& digit = altered[*rc::gen::inRange<std::size_t>(0, altered.size())];
  digit = digit == '0' ? '1' : '0';
  RC_ASSERT(findTenant("alpha", {tenantWithDigest(altered)}) == nullptr);
}

}  // namespace
}  // namespace shedlever
