#pragma once

/// @file
/// Settings of a router process and their parser.

#include <string>

#include "shedlever/errors.h"
#include "shedlever/identifiers.h"
#include "source/core/router/admission/link_budget.h"
#include "source/core/router/directory/server_directory.h"
#include "source/core/router/ownership/ownership_config.h"
#include "source/core/router/quarantine/crash_quarantine.h"
#include "source/core/router/routes/shared_retry_budget.h"

namespace shedlever {

struct QueueConfig {
  /// A request may wait for a slot for this time even if it will exceed its latency objective, provided that it
  /// finishes before its caller's deadline. Rejecting a short call of another server would waste the work done for its
  /// request.
  Duration min_wait_limit = std::chrono::milliseconds(100);
  /// Fraction of the server's slots that are used at once.
  double slot_share = 1.0;
};

struct StopConfig {
  /// Time after the stop signal at which the process is killed.
  Duration grace = std::chrono::seconds(6);
  /// Maximum time until clients stop sending requests after this process has reported that it is not ready.
  Duration clients_leave = std::chrono::milliseconds(2300);
  /// How long a draining server may still get requests after its notice was acknowledged.
  Duration drain = std::chrono::seconds(2);
};

struct EvacuationConfig {
  /// Time after an operator's command in which a zone's servers must stop getting requests; zero disables evacuation.
  Duration time_limit = Duration::zero();

  bool enabled() const { return time_limit > Duration::zero(); }
};

/// Which protocols clients and operators use.
enum class InterfaceKind : std::uint8_t {
  Shedlever,  ///< the product's own protocols, see docs/PROTOCOLS.md
  Platform,   ///< the protocols of the platform that the process runs on
};

/// Memory of a machine whose settings do not state it. A body of the default limit (64 MB) is still served.
inline constexpr std::size_t kDefaultMachineMemoryBytes = 256U << 20U;

struct RouterSettings {
  InterfaceKind interface_kind = InterfaceKind::Shedlever;
  NodeName node;
  ZoneName zone;
  /// Service of this node's server.
  ServiceName service;
  Endpoint clients_listen;
  Endpoint peers_listen;
  /// Address at which other nodes reach `peers_listen`, if it differs, for example behind a proxy.
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
  /// Time after which a change of the configuration must be in effect in every process.
  Duration config_time_limit = std::chrono::seconds(2);
  /// Bandwidth of the node's network link.
  LinkConfig link;
  /// Memory of the machine in bytes, which the process must not exceed; 0: not limited.
  std::size_t machine_memory_bytes = kDefaultMachineMemoryBytes;

  /// @return how much of the memory bodies of requests and responses may take, in bytes.
  std::size_t bodyMemoryBytes() const;
};

/// @param text settings as JSON.
/// @return the settings, or Findings that list all errors.
leaf::result<RouterSettings> parseRouterSettings(const std::string& text);

/// Reads and parses a settings file.
/// @return the settings, or Findings that list all errors or name the unreadable file.
leaf::result<RouterSettings> readRouterSettings(const std::string& path);

}  // namespace shedlever
