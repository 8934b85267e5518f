#pragma once

/// @file
/// Consistency checks between values of one service and between services.

#include "shedlever/errors.h"
#include "shedlever/settings.h"
#include "source/core/settings/settings_documents.h"

namespace shedlever {

/// Checks the values of one service: required values, deadlines, tenants, and that it is not both `once_only` and
/// `repeatable`.
void checkService(const ParsedDocuments& documents, const ServiceSettings& service, Findings& findings);

/// Checks across services: path prefixes must not overlap, and a credential must belong to one tenant only.
void checkServices(const ParsedDocuments& documents, const DeploymentSettings& settings, Findings& findings);

}  // namespace shedlever
