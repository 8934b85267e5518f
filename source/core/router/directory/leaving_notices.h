#pragma once

/// @file
/// Instances of the local server that have given notice that they leave. The node's record holds them, so that they
/// bind the next router process of the node too.

#include <vector>

#include "shedlever/identifiers.h"

namespace shedlever {

/// An instance never takes its notice back. The oldest notices are dropped: a heartbeat is late by seconds, and a
/// node's server is not replaced as often as that.
class LeavingNotices {
 public:
  /// @return false if the notice was known already.
  bool add(const InstanceId& instance);
  /// Adds the notices that another process has recorded. @return false if all were known already.
  bool addAll(const std::vector<InstanceId>& instances);

  bool contains(const InstanceId& instance) const;
  /// Oldest first.
  const std::vector<InstanceId>& instances() const { return instances_; }

 private:
  std::vector<InstanceId> instances_;
};

}  // namespace shedlever
