#pragma once

/// @file
/// From a bearer credential to the tenant of one service. Only digests of credentials are kept.

#include <optional>
#include <string_view>
#include <vector>

#include "shedlever/http_messages.h"
#include "shedlever/settings.h"

namespace shedlever {

/// @return the credential of `Authorization: Bearer CREDENTIAL`; nothing when the header is missing,
/// given twice, empty or of another scheme.
std::optional<std::string_view> bearerCredential(const std::vector<HttpHeader>& headers);

/// Compares with every tenant in a time that does not depend on how much of a digest fits. A tenant whose
/// `credential_sha256` is not 64 hexadecimal digits can't be reached by any credential.
/// @return the tenant with that credential; null when there is none.
const TenantSettings* findTenant(std::string_view credential, const std::vector<TenantSettings>& tenants);

}  // namespace shedlever
