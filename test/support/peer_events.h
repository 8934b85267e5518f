#pragma once

/// @file
/// Events of a peer client for tests that look at few of them.

#include "source/router/peer_client.h"

namespace shedlever::test {

/// @return events that do nothing; there are no server crashes to report.
inline PeerClient::Events ignoringPeerEvents() {
  PeerClient::Events events;
  events.on_reachable = [](const NodeName&, bool) {};
  events.on_snapshot_requested = [](const NodeName&) {};
  events.on_lease = [](const NodeName&, const PeerLease&) {};
  events.on_owner_table = [](const OwnerTableFrame&) {};
  events.server_crashes = [] { return ServerCrashesFrame{}; };
  events.on_server_crashes = [](const ServerCrashesFrame&) {};
  return events;
}

}  // namespace shedlever::test
