#pragma once

/// @file
/// Names of the durations and shares in OwnershipConfig, as used by settings and experiments.

#include <span>
#include <string_view>

#include "source/core/router/ownership/ownership_config.h"

namespace shedlever {

struct OwnershipDurationField {
  std::string_view name;
  Duration OwnershipConfig::*member;
};

struct OwnershipShareField {
  std::string_view name;
  double OwnershipConfig::*member;
};

std::span<const OwnershipDurationField> ownershipDurationFields();

/// Numbers from 0 to 1.
std::span<const OwnershipShareField> ownershipShareFields();

}  // namespace shedlever
