#pragma once

/// @file
/// Status that one router reports to operators, and its JSON encoding.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "shedlever/errors.h"
#include "shedlever/metadata_store.h"
#include "shedlever/router_frames.h"
#include "source/core/router/ownership/owner_table.h"

namespace shedlever {

/// A request that is not sent to servers because servers crashed while running it.
struct QuarantineStatus {
  /// Same text as in the logs.
  std::string fingerprint;
  /// Time until the request may be sent again.
  Duration remaining{};
  /// Instances that crashed while running the request, oldest first; empty if it is known only from a stored record.
  std::vector<InstanceId> crashed_instances;
};

struct NodeStatus {
  NodeIdentity node;
  ZoneName zone;
  ServiceName service;
  std::string version;
  bool ready = false;
  bool stopping = false;
  /// Instance of the local server; empty while there is none.
  InstanceId instance;
  bool draining = false;
  /// The server does not respond.
  bool silent = false;
  ServerLoad load;
  /// Requests per second that the server takes, as it names them; std::nullopt if it names no limit.
  std::optional<double> named_limit;
  /// Number of client requests without a final response.
  std::uint64_t in_flight = 0;
  /// Number of nodes that this node knows of.
  std::uint64_t known_nodes = 0;
  ConfigVersion config_version = 0;
  /// Objects of the active configuration, with their revisions.
  std::map<std::string, StoreRevision> config_parts;
  /// Latest store epoch seen; 0 while none is known.
  StoreEpoch store_epoch = 0;
  /// Remaining time of the node's lease; zero if its service is not divided by key.
  Duration lease_left{};
  /// Key ranges that the owner table assigns to this node.
  std::vector<OwnedRange> ranges;
  std::vector<QuarantineStatus> quarantined;
};

std::string encodeNodeStatus(const NodeStatus& status);

/// @return the status, or a DecodeError.
leaf::result<NodeStatus> decodeNodeStatus(const std::string& text);

}  // namespace shedlever
