#pragma once

/// @file
/// Records of nodes whose servers accept requests.

#include <string>

#include "source/core/router/directory/server_directory.h"

namespace shedlever::test {

/// @return the record of a node in the zone "zone", with a server named after the node.
inline NodeRecord servingNode(const std::string& node, const ServiceName& service, std::uint32_t slots) {
  NodeRecord record;
  record.node = NodeName(node);
  record.zone = ZoneName("zone");
  record.service = service;
  record.instance = InstanceId("i-" + node);
  record.slots = slots;
  return record;
}

}  // namespace shedlever::test
