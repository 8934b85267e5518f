#include "source/core/router/ownership/ownership_fields.h"

#include <array>

namespace shedlever {

namespace {

constexpr std::array<OwnershipDurationField, 15> kDurations{{
    {"lease", &OwnershipConfig::lease},
    {"lease_renewal", &OwnershipConfig::lease_renewal},
    {"lease_retry", &OwnershipConfig::lease_retry},
    {"lease_margin", &OwnershipConfig::lease_margin},
    {"grant_hold", &OwnershipConfig::grant_hold},
    {"heartbeat_hold", &OwnershipConfig::heartbeat_hold},
    {"heartbeat_wait", &OwnershipConfig::heartbeat_wait},
    {"order_retry", &OwnershipConfig::command_retry},
    {"first_division_delay", &OwnershipConfig::first_division_delay},
    {"rank_delay", &OwnershipConfig::rank_delay},
    {"suspicion", &OwnershipConfig::suspicion},
    {"pause_limit", &OwnershipConfig::pause_limit},
    {"balance_settle", &OwnershipConfig::balance_settle},
    {"gain_settle", &OwnershipConfig::gain_settle},
    {"balance_interval", &OwnershipConfig::balance_interval},
}};

constexpr std::array<OwnershipShareField, 4> kShares{{
    {"busy_occupancy", &OwnershipConfig::busy_occupancy},
    {"occupancy_gap", &OwnershipConfig::occupancy_gap},
    {"failing_share", &OwnershipConfig::max_failure_ratio},
    {"failing_gap", &OwnershipConfig::failure_ratio_gap},
}};

}  // namespace

std::span<const OwnershipDurationField> ownershipDurationFields() { return kDurations; }

std::span<const OwnershipShareField> ownershipShareFields() { return kShares; }

}  // namespace shedlever
