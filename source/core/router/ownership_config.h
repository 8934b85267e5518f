#pragma once

/// @file
/// Times that ownership of keys rests on.

#include <cstdint>

#include "shedlever/time.h"

namespace shedlever {

/// How servers take their keys.
enum class GrantDelivery : std::uint8_t {
  Request,    ///< by requests to the server
  Heartbeat,  ///< in the acknowledgements of its heartbeats
};

struct OwnershipConfig {
  GrantDelivery grant_delivery = GrantDelivery::Request;
  /// How long a node owns what the table gives it after it sent a renewal that succeeded.
  Duration lease = std::chrono::seconds(10);
  Duration lease_renewal = std::chrono::milliseconds(2500);
  /// After a renewal without success.
  Duration lease_retry = std::chrono::milliseconds(300);
  /// How much longer than the lease a challenger waits, for clocks that run apart.
  Duration lease_margin = std::chrono::milliseconds(500);
  /// How long a grant by request lasts.
  Duration grant_hold = std::chrono::seconds(2);
  /// How long a grant by heartbeat lasts: three heartbeats of 1.3 s.
  Duration heartbeat_hold = std::chrono::seconds(4);
  /// How long the acknowledgement of a heartbeat waits for keys to come or go. The server takes none after 1 s.
  Duration heartbeat_wait = std::chrono::milliseconds(600);
  /// Shortest grant worth sending.
  Duration min_grant = std::chrono::milliseconds(200);
  /// Servers' clocks may count a grant this much longer.
  double clock_drift_factor = 1.02;
  /// After a grant or release without an answer.
  Duration order_retry = std::chrono::milliseconds(50);
  /// Ranges of each server after the first division, taking turns: keys that are asked for often lie close together.
  std::uint32_t initial_ranges_per_server = 4;
  /// But not more in all, so that the tables of large services stay small.
  std::uint32_t max_initial_ranges = 32;
  /// Before the first division, for other servers to show up.
  Duration first_division_delay = std::chrono::milliseconds(1500);
  /// Further wait of each node after the first, in order of names, before it does what one node should do.
  Duration rank_delay = std::chrono::milliseconds(700);
  /// After the store has come back from a copy: between what two nodes, in order of names, do about its table.
  Duration restore_step = std::chrono::milliseconds(10);
  /// A node that can't be reached for so long is suspected.
  Duration suspicion = std::chrono::seconds(1);
  /// A longer gap between two ticks means that this process stood still.
  Duration pause_limit = std::chrono::milliseconds(1000);
  /// Between two decisions about balance.
  Duration balance_interval = std::chrono::milliseconds(500);
  /// After moves, until what others tell of their work shows them.
  Duration balance_settle = std::chrono::milliseconds(1000);
  /// How long keys stay with an owner that has just got them, until it has seen where their work lies.
  Duration gain_settle = std::chrono::seconds(3);
  /// Share of its slots that an owner's work asks for, below which it keeps its keys.
  double busy_occupancy = 0.6;
  /// How far above the average of all servers, as a share of its slots, an owner's work must be for a move.
  double occupancy_gap = 0.15;
  /// Share of failed requests above which an owner's server is not trusted with keys ...
  double failing_share = 0.4;
  /// ... if it is so much above that of the servers that could take them.
  double failing_gap = 0.3;
  /// Ranges of one owner above which neighbours are joined.
  std::size_t max_ranges_per_owner = 6;
};

}  // namespace shedlever
