#pragma once

/// @file
/// Timing and limits of key ownership.

#include <cstddef>
#include <cstdint>

#include "shedlever/time.h"

namespace shedlever {

/// How grants reach a server.
enum class GrantDelivery : std::uint8_t {
  Request,    ///< by commands to the server
  Heartbeat,  ///< in the acknowledgements of its heartbeats
};

struct OwnershipConfig {
  GrantDelivery grant_delivery = GrantDelivery::Request;
  /// How long a node owns its ranges in the table after it sent a successful renewal.
  Duration lease = std::chrono::seconds(10);
  Duration lease_renewal = std::chrono::milliseconds(2500);
  /// Delay after a failed renewal.
  Duration lease_retry = std::chrono::milliseconds(300);
  /// Added to the lease before another node revokes it, to allow for clock differences.
  Duration lease_margin = std::chrono::milliseconds(500);
  /// Duration of a grant by command. After a server has crashed its keys wait for the end of its grants, and are to be
  /// served again within 1 s.
  Duration grant_hold = std::chrono::milliseconds(800);
  /// Longest grant by command that an earlier process of the node may have given, older builds included.
  Duration longest_earlier_hold = std::chrono::seconds(2);
  /// Duration of a grant by heartbeat: three heartbeats of 1.3 s.
  Duration heartbeat_hold = std::chrono::seconds(4);
  /// Longest time for which the acknowledgement of a heartbeat is held back until keys change. The server ignores
  /// acknowledgements after 1 s.
  Duration heartbeat_wait = std::chrono::milliseconds(600);
  /// Shorter grants are not sent.
  Duration min_grant = std::chrono::milliseconds(200);
  /// Largest factor by which a server's clock may stretch a grant.
  double clock_drift_factor = 1.02;
  /// Delay after a failed command.
  Duration command_retry = std::chrono::milliseconds(50);
  /// Ranges per server in the initial table. The servers take turns, because frequently requested keys lie close
  /// together.
  std::uint32_t initial_ranges_per_server = 4;
  /// Limit for all servers together, so that the tables of large services stay small.
  std::uint32_t max_initial_ranges = 32;
  /// The initial table is created once no server has appeared or left for this long ...
  Duration first_division_delay = std::chrono::milliseconds(1500);
  /// ... or after this time, if servers keep appearing and leaving.
  Duration first_division_limit = std::chrono::seconds(8);
  /// Added per rank of the node, in order of names, before an action that one node should take.
  Duration rank_delay = std::chrono::milliseconds(700);
  /// Added per rank of the node, in order of names, before it reads or changes the table of a restored store.
  Duration restore_step = std::chrono::milliseconds(10);
  /// A node that has been unreachable for this long is suspected to have failed.
  Duration suspicion = std::chrono::seconds(1);
  /// A longer gap between two ticks means that this process was paused.
  Duration pause_limit = std::chrono::milliseconds(1000);
  /// Time between two balancing decisions.
  Duration balance_interval = std::chrono::milliseconds(500);
  /// Pause after moves, until the load that others report reflects them.
  Duration balance_settle = std::chrono::milliseconds(1000);
  /// How long gained keys stay with their new owner, until it has measured their load.
  Duration gain_settle = std::chrono::seconds(3);
  /// Number of servers of a service from which one node plans the moves of all owners; 0: never.
  std::size_t service_plan_from = 24;
  /// Time between two such plans.
  Duration service_plan_interval = std::chrono::seconds(1);
  /// Utilization below which an owner keeps its keys.
  double busy_occupancy = 0.6;
  /// Difference to the mean utilization of all servers from which an owner moves keys.
  double occupancy_gap = 0.15;
  /// Ratio of failed requests from which an owner moves its keys away ...
  double max_failure_ratio = 0.4;
  /// ... to servers whose ratio is lower by at least this.
  double failure_ratio_gap = 0.3;
  /// Number of ranges of one owner above which adjacent ranges are merged.
  std::size_t max_ranges_per_owner = 6;
  /// Number of owners in the table from which one process writes the edits of all; 0: never.
  std::uint32_t shared_writes_from = 24;
};

}  // namespace shedlever
