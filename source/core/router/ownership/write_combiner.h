#pragma once

/// @file
/// Which process writes the owner table of a service for the others.

#include <map>

#include "source/core/router/server_directory.h"

namespace shedlever {

/// The first by name of those that have a server of the service and can be reached: all choose alike without agreement.
/// Two that choose differently meet each other's writes, and one that has no answer writes by itself.
class WriteCombiner {
 public:
  WriteCombiner(NodeName self, ServiceName service) : self_(std::move(self)), service_(std::move(service)) {}

  /// @param serves whether this process has a server of the service itself.
  /// @return whom to ask; empty when this process is to write by itself.
  NodeName choose(const ServerDirectory& directory, bool serves, TimePoint now) const;

  /// The process did not answer, or did not do it: it is left alone for a while.
  void onFailed(const NodeName& node, TimePoint now);

 private:
  NodeName self_;
  ServiceName service_;
  std::map<NodeName, TimePoint> left_alone_until_;
};

}  // namespace shedlever
