#pragma once

/// @file
/// Takes over keys from owners that do not respond: first revokes their lease in the store, then changes the table.

#include <functional>
#include <map>
#include <set>

#include "shedlever/metadata_store.h"
#include "source/core/router/ownership/lease_manager.h"
#include "source/core/router/ownership/owner_table.h"
#include "source/core/router/ownership/ownership_config.h"

namespace shedlever {

/// Revokes a node's lease only after it has expired: the lease object has been unchanged for the whole lease duration
/// on this process's clock, or is still the one whose expiry the node reported. The revocation is conditional on the
/// unchanged revision, so a later renewal fails, and an earlier one makes the revocation fail.
class TakeoverWatcher {
 public:
  /// @return the newest token in the known owner table.
  using NewestToken = std::function<FenceToken()>;
  /// The node's lease has been revoked. Its ranges with tokens up to `newest_token` may be reassigned; under later
  /// tokens it may have confirmed them after the revocation.
  using OnRevoked = std::function<void(const NodeName&, FenceToken newest_token)>;

  TakeoverWatcher(const OwnershipConfig& config, MetadataStore& store, const Clock& clock, NewestToken newest_token,
                  OnRevoked on_revoked);

  /// @param suspects nodes of owners that are unreachable now. Observations about other nodes are dropped.
  /// @param delay additional wait before this process revokes a lease.
  void tick(const std::set<NodeName>& suspects, Duration delay, TimePoint now);

  /// A node's process has reported its lease.
  void onPeerLease(const NodeName& node, const PeerLease& lease);

  /// Drops all observations, because this process was paused and they do not cover the pause.
  void reset() { challenges_.clear(); }

 private:
  struct Challenge {
    TimePoint suspected_since{};
    bool read = false;
    bool absent = false;
    StoreRevision revision;
    /// Epoch of the store at the time of reading.
    StoreEpoch epoch = 0;
    LeaseRecord lease;
    TimePoint read_at{};
    bool in_flight = false;
  };

  /// @return when the lease that was read from the store expires.
  TimePoint leaseExpiry(const NodeName& node, const Challenge& challenge) const;
  void advance(const NodeName& node, Challenge& challenge, Duration delay, TimePoint now);
  void readLease(const NodeName& node);
  void revoke(const NodeName& node, const Challenge& challenge);
  void adopt(Challenge& challenge, const MetadataObject& object);

  const OwnershipConfig& config_;
  MetadataStore& store_;
  const Clock& clock_;
  NewestToken newest_token_;
  OnRevoked on_revoked_;
  std::map<NodeName, Challenge> challenges_;
  /// The newest lease reported by each node.
  std::map<NodeName, PeerLease> peer_leases_;
};

}  // namespace shedlever
