#pragma once

/// @file
/// What one router tells operators of itself, and its JSON text.

#include <map>
#include <string>
#include <vector>

#include "shedlever/errors.h"
#include "shedlever/metadata_store.h"
#include "shedlever/router_frames.h"
#include "source/core/router/owner_table.h"

namespace shedlever {

/// A request that is kept from servers.
struct QuarantineStatus {
  /// As in the logs.
  std::string fingerprint;
  /// Until it may be sent again.
  Duration remaining{};
  /// Lives of servers that ended while at work on it, oldest first; none where only a record tells of it.
  std::vector<InstanceId> crashed_instances;
};

struct NodeStatus {
  NodeIdentity node;
  ZoneName zone;
  ServiceName service;
  std::string version;
  bool ready = false;
  bool stopping = false;
  /// Empty while no server runs beside it.
  InstanceId instance;
  bool draining = false;
  /// The server does not answer.
  bool silent = false;
  ServerLoad load;
  /// Requests of clients without a final answer.
  std::uint64_t in_flight = 0;
  /// Nodes that it knows of.
  std::uint64_t known_nodes = 0;
  ConfigVersion config_version = 0;
  /// Objects of the configuration in force, with their revisions.
  std::map<std::string, StoreRevision> config_parts;
  /// Latest epoch of the store heard of; 0 while none was told.
  StoreEpoch store_epoch = 0;
  /// Zero for a node whose service is not divided by key.
  Duration lease_left{};
  /// Ranges of keys that the owner table gives to this node.
  std::vector<OwnedRange> ranges;
  std::vector<QuarantineStatus> quarantined;
};

/// @return JSON text.
std::string encodeNodeStatus(const NodeStatus& status);

/// @return the status, or a DecodeError.
leaf::result<NodeStatus> decodeNodeStatus(const std::string& text);

}  // namespace shedlever
