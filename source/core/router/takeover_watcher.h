#pragma once

/// @file
/// Takes keys from owners that have fallen silent: first their lease is revoked in the store, then the table changes.

#include <functional>
#include <map>
#include <set>

#include "shedlever/metadata_store.h"
#include "source/core/router/lease_manager.h"
#include "source/core/router/owner_table.h"
#include "source/core/router/ownership_config.h"

namespace shedlever {

/// Challenges a node only after its lease is over: its object has stood unchanged for the whole lease on this process's
/// own clock, or is still the one of which the node's process told when it ends. The revocation is conditional on that
/// unchanged revision: a renewal that arrives later fails, and one that arrives before makes the revocation fail.
class TakeoverWatcher {
 public:
  /// @param on_revoked the node's lease is revoked: its ranges may be given to others.
  TakeoverWatcher(const OwnershipConfig& config, MetadataStore& store, const Clock& clock,
                  std::function<void(const NodeName&)> on_revoked);

  /// @param suspects owners' nodes that can't be reached now. Others are left alone, whatever was seen of them.
  /// @param delay further wait before this process takes from anyone.
  void tick(const std::set<NodeName>& suspects, Duration delay, TimePoint now);

  /// A node's process has told of its lease.
  void onPeerLease(const NodeName& node, const PeerLease& lease);

  /// The process stood still: what it saw before says nothing about the time between.
  void reset() { challenges_.clear(); }

 private:
  struct Challenge {
    TimePoint suspected_since{};
    bool read = false;
    bool absent = false;
    StoreRevision revision;
    /// Of the store when it was read.
    StoreEpoch epoch = 0;
    LeaseRecord lease;
    TimePoint read_at{};
    bool in_flight = false;
  };

  /// @return when the lease of a node, as it was read, is over.
  TimePoint leaseExpiry(const NodeName& node, const Challenge& challenge) const;
  void advance(const NodeName& node, Challenge& challenge, Duration delay, TimePoint now);
  void readLease(const NodeName& node);
  void revoke(const NodeName& node, const Challenge& challenge);
  void adopt(Challenge& challenge, const MetadataObject& object);

  const OwnershipConfig& config_;
  MetadataStore& store_;
  const Clock& clock_;
  std::function<void(const NodeName&)> on_revoked_;
  std::map<NodeName, Challenge> challenges_;
  /// The newest lease that each node told of.
  std::map<NodeName, PeerLease> peer_leases_;
};

}  // namespace shedlever
