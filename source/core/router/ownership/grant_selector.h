#pragma once

/// @file
/// Selects the ranges that a node may grant to its server.

#include <vector>

#include "shedlever/key_report.h"
#include "source/core/router/ownership/owner_table.h"

namespace shedlever {

/// Knows only the owner table and what the server reports to hold; whether anything may be granted at all is decided by
/// the lease.
class GrantSelector {
 public:
  /// @param self the node that grants.
  /// @param table the newest known table; must outlive this object.
  GrantSelector(NodeName self, const OwnerTable& table);

  /// @return the server's ranges that are not being released.
  std::vector<OwnedRange> owned(const InstanceId& server) const;

  /// To be used while this process moves no keys: a release that was begun by an earlier process and not yet sent to
  /// the server is about to be aborted.
  /// @return the server's ranges that are not being released, and those being released that the server still holds.
  std::vector<OwnedRange> ownedOrStillHeld(const InstanceId& server, const KeyReport& report) const;

  /// To be used until the table has been read from the store. The server still holds these keys, so this node's
  /// previous process did not move them away, because that requires their release. Other nodes could not take them
  /// while the previous process's lease was valid.
  /// @return the ranges that the server holds, without those that contain keys of another owner in the known table.
  std::vector<OwnedRange> resumable(const InstanceId& server, const KeyReport& report) const;

 private:
  NodeName self_;
  const OwnerTable& table_;
};

}  // namespace shedlever
