#pragma once

/// @file
/// Finds the tenant that a bearer credential belongs to. Only digests of credentials are stored.

#include <optional>
#include <string_view>
#include <vector>

#include "shedlever/http_messages.h"
#include "shedlever/settings.h"

namespace shedlever {

/// @return the credential of `Authorization: Bearer CREDENTIAL`; nothing if the header is missing,
/// duplicated, empty or uses another scheme.
std::optional<std::string_view> bearerCredential(const std::vector<HttpHeader>& headers);

/// Compares the digest with that of every tenant in constant time per tenant. A tenant whose `credential_sha256` is not
/// 64 hexadecimal digits matches no credential.
/// @return the tenant with this credential; null if there is none.
const TenantSettings* findTenant(std::string_view credential, const std::vector<TenantSettings>& tenants);

}  // namespace shedlever
