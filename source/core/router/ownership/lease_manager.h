#pragma once

/// @file
/// This node's lease: one object in the metadata store that only this node renews and that other nodes may revoke.

#include <algorithm>
#include <functional>
#include <string>

#include "shedlever/metadata_store.h"
#include "shedlever/router_frames.h"
#include "source/core/router/ownership/ownership_config.h"

namespace shedlever {

/// Value of a lease object.
struct LeaseRecord {
  Incarnation incarnation;
  /// Incremented with each renewal.
  std::uint64_t renewal_count = 0;
  /// Another node has revoked the lease; the holder has lost all ownership that the lease protected. The holder keeps
  /// the mark in its renewals until its ranges are confirmed in the table.
  bool revoked = false;

  std::string encode() const;
  /// @return the record; fields that are missing or invalid keep their default values.
  static LeaseRecord decode(const std::string& text);
};

/// A lease as reported by its holder's process.
struct PeerLease {
  /// Revision of the lease object; 0: not reported.
  StoreRevision revision;
  /// The lease is valid at least until then unless it is revoked.
  TimePoint valid_until{};
  /// The lease has expired by then, allowing for clock differences, unless the object has changed.
  TimePoint expired_by{};
};

/// The lease counts from the time at which the renewal was sent, so that the holder never considers it valid longer
/// than other nodes do.
/// After a revocation, renewals carry the mark `revoked` until this node's ranges are confirmed, so that a process that
/// is started in between finds the mark and confirms the ranges as well.
class LeaseManager {
 public:
  /// @param on_revoked the lease was revoked, or may have been, and is held again. Ownership under the old lease must
  ///   be confirmed in the table before it counts.
  LeaseManager(NodeIdentity self, const OwnershipConfig& config, MetadataStore& store, const Clock& clock,
               std::function<void()> on_revoked);

  /// Takes over the remaining lease of this node's previous process, until this process has renewed it. A node runs one
  /// process at a time, so no other process can use the lease until then.
  void inherit(TimePoint until);

  /// Renews the lease if due.
  void tick(TimePoint now);

  /// Ownership under the lease must be confirmed in the table: renewals carry the mark `revoked` from now on.
  void requireConfirmation();
  /// The ranges of this node are confirmed in the table: the next renewal, which is due at once, removes the mark.
  void onConfirmed();

  bool valid(TimePoint now) const { return now < valid_until_; }
  TimePoint validUntil() const { return valid_until_; }
  /// @return the end of the lease for reports to peers, which pass it to a process that replaces this one; zero while
  ///   the ranges are not confirmed or the store may still hold the mark `revoked`.
  TimePoint reportedUntil() const { return may_be_marked_ ? TimePoint{} : valid_until_; }
  /// @return revision of the lease object after the last renewal by this process; 0 if there was none.
  StoreRevision renewedRevision() const { return renewed_revision_; }

 private:
  void sendRenewal(TimePoint now);
  void onAnswer(const StoreAnswer& answer, TimePoint sent, bool marked);
  void onRenewed(TimePoint sent, bool marked);
  /// Reports a revocation of the lease.
  void onRevoked();
  /// @return whether the lease had expired when the renewal was sent and the store has been restored from a backup
  ///   since the previous renewal. The restored store would not show a revocation in between.
  bool mayHaveBeenRevokedBeforeRestore(TimePoint sent) const;

  NodeIdentity self_;
  const OwnershipConfig& config_;
  MetadataStore& store_;
  const Clock& clock_;
  std::function<void()> on_revoked_;
  /// 0: unknown, or the object does not exist.
  StoreRevision revision_;
  StoreRevision renewed_revision_;
  std::uint64_t count_ = 0;
  bool in_flight_ = false;
  /// Renewals carry the mark `revoked`.
  bool unconfirmed_ = false;
  /// No renewal without the mark has succeeded since the last revocation.
  bool may_be_marked_ = false;
  TimePoint next_renewal_at_{};
  TimePoint valid_until_{};
};

/// Kind of lease objects in the store; it is not watched.
inline constexpr const char* kLeaseKind = "shedlever-leases";

}  // namespace shedlever
