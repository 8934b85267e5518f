#include "source/interface/credentials.h"

#include <openssl/crypto.h>

#include "source/core/ascii_case.h"
#include "source/core/sha256.h"
#include "source/interface/header_rules.h"

namespace shedlever {

namespace {

constexpr std::string_view kBearerScheme = "Bearer ";

std::optional<Sha256Digest> digestFromHex(const std::string& hex) {
  Sha256Digest digest{};
  std::size_t size = 0;
  const bool decoded = OPENSSL_hexstr2buf_ex(digest.data(), digest.size(), &size, hex.c_str(), '\0') == 1;
  if (!decoded || size != digest.size()) {
    return std::nullopt;
  }
  return digest;
}

}  // namespace

std::optional<std::string_view> bearerCredential(const std::vector<HttpHeader>& headers) {
  const HeaderLookup header = lookUpHeader(headers, "authorization");
  if (header.count != 1 || header.value.size() <= kBearerScheme.size()) {
    return std::nullopt;
  }
  if (!equalsIgnoringCase(header.value.substr(0, kBearerScheme.size()), kBearerScheme)) {
    return std::nullopt;
  }
  const std::string_view credential = header.value.substr(kBearerScheme.size());
  const std::size_t first = credential.find_first_not_of(' ');
  if (first == std::string_view::npos) {
    return std::nullopt;
  }
  return credential.substr(first);
}

const TenantSettings* findTenant(std::string_view credential, const std::vector<TenantSettings>& tenants) {
  const Sha256Digest digest = sha256(credential);
  const TenantSettings* found = nullptr;
  for (const TenantSettings& tenant : tenants) {
    const std::optional<Sha256Digest> expected = digestFromHex(tenant.credential_sha256);
    if (expected && CRYPTO_memcmp(expected->data(), digest.data(), digest.size()) == 0) {
      found = &tenant;
    }
  }
  return found;
}

}  // namespace shedlever
