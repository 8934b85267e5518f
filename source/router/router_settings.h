#pragma once

/// @file
/// Settings of one router process, from a JSON file.

#include <string>

#include "shedlever/errors.h"
#include "shedlever/identifiers.h"
#include "source/core/router/link_budget.h"
#include "source/core/router/ownership_config.h"
#include "source/core/router/quarantine/crash_quarantine.h"
#include "source/core/router/server_directory.h"
#include "source/core/router/shared_retry_budget.h"

namespace shedlever {

struct QueueConfig {
  /// A request waits for a slot if it is then expected to end within its latency objective, or has waited for no longer
  /// than this and ends before its caller has left: refusing a short call of another server fails all that this one has
  /// done for its request already.
  Duration min_wait_limit = std::chrono::milliseconds(100);
  /// Slots of the server that are used at once, as a share of what it has.
  double slot_share = 1.0;
};

struct StopConfig {
  /// The process is killed so long after it was told to stop.
  Duration grace = std::chrono::seconds(6);
  /// Clients stay away at the latest so long after this process said that it is not ready.
  Duration clients_leave = std::chrono::milliseconds(2300);
  /// How long a leaving server may still be given work after its notice was acknowledged.
  Duration drain = std::chrono::seconds(2);
};

struct EvacuationConfig {
  /// Servers of a zone get nothing any more so long after operators have asked for it; zero where they can't.
  Duration time_limit = Duration::zero();

  bool enabled() const { return time_limit > Duration::zero(); }
};

/// Whose words clients and operators use.
enum class InterfaceKind : std::uint8_t {
  Shedlever,  ///< the product's own, see docs/PROTOCOLS.md
  Platform,   ///< those of the platform that the process runs on
};

struct RouterSettings {
  InterfaceKind interface_kind = InterfaceKind::Shedlever;
  NodeName node;
  ZoneName zone;
  /// The service of the server beside this process.
  ServiceName service;
  Endpoint clients_listen;
  Endpoint peers_listen;
  /// Where other nodes reach `peers_listen`; the same unless something lies between.
  Endpoint peers_advertised;
  Endpoint readiness_listen;
  Endpoint reports_listen;
  Endpoint server;
  Endpoint store;
  RetryBudgetConfig retry;
  OwnershipConfig ownership;
  ServerChoiceConfig choice;
  QueueConfig queue;
  StopConfig stop;
  QuarantineConfig quarantine;
  EvacuationConfig evacuation;
  /// The machine's link.
  LinkConfig link;
};

/// @param text JSON.
/// @return the settings, or Findings with everything that is wrong.
leaf::result<RouterSettings> parseRouterSettings(const std::string& text);

/// As `parseRouterSettings`, from a file.
leaf::result<RouterSettings> readRouterSettings(const std::string& path);

}  // namespace shedlever
