#pragma once

/// @file
/// This node's lease: one object in the metadata store that only this node renews and that a challenger may revoke.

#include <algorithm>
#include <functional>
#include <string>

#include "shedlever/metadata_store.h"
#include "shedlever/router_frames.h"
#include "source/core/router/ownership_config.h"

namespace shedlever {

/// Value of a lease object.
struct LeaseRecord {
  Incarnation incarnation;
  /// Rises with each renewal.
  std::uint64_t renewal_count = 0;
  /// A challenger took it; the holder has lost everything that the lease stood for.
  bool revoked = false;

  std::string encode() const;
  /// @return the record; a revoked one for text that can't be read.
  static LeaseRecord decode(const std::string& text);
};

/// What another node's process told of its lease.
struct PeerLease {
  /// Of the lease object that it rests on; 0: not told.
  StoreRevision revision;
  /// It lasts until then at least, unless it is revoked.
  TimePoint valid_until{};
  /// It is over by then, by a clock that may run apart, unless the object has changed.
  TimePoint expired_by{};
};

/// Counts the lease from when the renewal was sent, so that the holder never believes in it longer than others do.
class LeaseManager {
 public:
  /// @param on_revoked the lease was taken away and has been obtained anew: what it stood for must be confirmed in the
  ///   table before it counts again.
  LeaseManager(NodeIdentity self, const OwnershipConfig& config, MetadataStore& store, const Clock& clock,
               std::function<void()> on_revoked);

  /// The node's process before this one had the lease for so long at least. There is one process of a node at a time,
  /// so nobody can hold what the lease stands for until then but this one. Counts until this process has renewed it.
  void inherit(TimePoint until);

  /// Renews when it is time.
  void tick(TimePoint now);

  bool valid(TimePoint now) const { return now < valid_until_; }
  TimePoint validUntil() const { return valid_until_; }
  /// @return revision of the lease object whose renewal by this process `validUntil` rests on; 0 when it rests on none.
  StoreRevision renewedRevision() const { return renewed_revision_; }

 private:
  void sendRenewal(TimePoint now);
  void onAnswer(const StoreAnswer& answer, TimePoint sent);
  /// @return whether the lease was over when the renewal was sent, and the store has come back from a copy since the
  /// one
  ///   before: a challenger may have revoked it, of which the store knows nothing any more.
  bool mayHaveBeenRevokedBeforeRestore(TimePoint sent) const;

  NodeIdentity self_;
  const OwnershipConfig& config_;
  MetadataStore& store_;
  const Clock& clock_;
  std::function<void()> on_revoked_;
  /// 0: not known, or the object does not exist.
  StoreRevision revision_;
  StoreRevision renewed_revision_;
  std::uint64_t count_ = 0;
  bool in_flight_ = false;
  TimePoint next_renewal_at_{};
  TimePoint valid_until_{};
};

/// Kind of lease objects in the store; nobody watches it.
inline constexpr const char* kLeaseKind = "shedlever-leases";

}  // namespace shedlever
