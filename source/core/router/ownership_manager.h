#pragma once

/// @file
/// Ownership of keys as one node sees it: what the server beside it holds, and the changes of the owner table that
/// this node makes. No node leads: each change is one conditional write.

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "shedlever/metadata_store.h"
#include "shedlever/server_commands.h"
#include "source/core/router/balance_planner.h"
#include "source/core/router/gained_keys.h"
#include "source/core/router/heartbeat_grants.h"
#include "source/core/router/key_meter.h"
#include "source/core/router/key_moves.h"
#include "source/core/router/lease_manager.h"
#include "source/core/router/request_grants.h"
#include "source/core/router/server_directory.h"
#include "source/core/router/table_writer.h"
#include "source/core/router/takeover_watcher.h"

namespace shedlever {

/// What a node may do with a request for a key.
enum class KeyState : std::uint8_t {
  Held,            ///< begin it
  Pending,         ///< the key is this server's; its grant is under way
  Moving,          ///< on its way from this server to another
  OwnedElsewhere,  ///< another's
};

/// Decision about ownership, for the log.
struct OwnershipEvent {
  std::string what;
  std::string detail;
};

/// What the keeper uses and tells; everything outlives it.
struct OwnershipPorts {
  MetadataStore* store = nullptr;
  ServerCommands* orders = nullptr;
  const Clock* clock = nullptr;
  ServerDirectory* directory = nullptr;
  /// The owner table changed, or a range is newly held: requests that wait for their owner may go on.
  std::function<void()> on_change;
  /// @return whether the store itself has told the owner table since this process started. What other processes tell
  /// may be older than the last change of this node's process before this one.
  std::function<bool()> table_read;
  /// Nothing listens at the server's address.
  std::function<void()> on_server_gone;
  std::function<void(const OwnershipEvent&)> on_event;
  /// A table was written that gives keys to these nodes: they should hear of it at once.
  std::function<void(const MetadataObject& table, const std::set<NodeName>& gainers)> on_keys_transferred;
};

class OwnershipManager {
 public:
  OwnershipManager(NodeIdentity self, ServiceName service, const OwnershipConfig& config, OwnershipPorts ports);

  /// A server runs beside this node.
  void serverUp(const InstanceId& instance, TimePoint now);
  /// It is dead for sure: its keys may go to others at once.
  void serverDead();
  /// The lease of this node's process before this one, as others know it.
  void inheritLease(TimePoint until) { lease_.inherit(until); }
  /// Another node's process has told of its lease.
  void onPeerLease(const NodeName& node, const PeerLease& lease) { takeover_.onPeerLease(node, lease); }
  /// It leaves, or this node stops: its keys go to others, in order. Holds until the next `serverUp`.
  void startDraining() { draining_ = true; }
  /// The servers of this node's zone are to get nothing: as `startDraining`, but it can end, and outlasts a server's
  /// life.
  void setEvacuated(bool evacuated) { evacuated_ = evacuated; }

  /// A heartbeat of the server, newer than all before it. Only for servers that take their keys that way, as is all
  /// that speaks of heartbeats below.
  void onKeyReport(const KeyReport& report);
  /// @return whether acknowledging the heartbeat now would change what the server holds.
  bool wouldChange(const KeyReport& report) const;
  /// @return all that the server is to hold; none when nothing may be said of keys.
  std::optional<KeyAssignment> assign(const KeyReport& report, TimePoint received);
  /// An acknowledgement has been given.
  void onAcknowledged();
  /// @return whether the server's keys have run out since nothing was heard of it.
  bool serverGrantsLapsed(TimePoint now) const {
    return hasServer() && heartbeat_grants_ && heartbeat_grants_->allLapsed(now);
  }
  /// @return what heartbeats have told and were told; null when they don't tell of keys.
  const HeartbeatGrantCounts* heartbeatCounts() const {
    return heartbeat_grants_ ? &heartbeat_grants_->counts() : nullptr;
  }

  /// The server refused a request since it does not hold the key.
  void onKeyRefused(Key key) { grants_->onKeyRefused(key); }

  /// Objects of the shared kind, as listed or watched.
  void onTableObject(const MetadataObject& object) { writer_.onObject(object); }
  void onTableAbsent() { writer_.onAbsent(); }

  /// Does what is due; every 100 ms or so, and after events.
  void tick(TimePoint now);

  KeyState keyState(Key key, TimePoint now) const;
  /// @return who owns the key, for a process that asks here in vain.
  OwnerHint hintFor(Key key) const;
  /// Counts a request for its key.
  void onKeyRequest(Key key, TimePoint now) { meter_.add(key, 1.0, now); }
  /// That request was refused since the server is full. Its client comes back once, so that two such are one request.
  void onKeyRequestRefused(Key key, TimePoint now) { meter_.add(key, -kRefusedShare, now); }
  /// @return requests a second for the keys of this node's server, as of the last tick.
  double requestRate() const { return request_rate_; }
  /// @param work asked of this node's server.
  void setOfferedLoad(const OfferedLoad& work) { offered_load_ = work; }
  /// @param share of the requests at this node's server that fail of late.
  void setFailureRatio(double share) { failure_ratio_ = share; }

  /// @return whether no key is left here, so that the node may stop.
  bool ownsNothing() const;

  const TableWriter& tableWriter() const { return writer_; }
  TimePoint leaseUntil() const { return lease_.validUntil(); }
  StoreRevision leaseRevision() const { return lease_.renewedRevision(); }

 private:
  static constexpr double kRefusedShare = 0.5;

  KeyMoves::Ports movePorts();
  GrantChannel::Events grantEvents();
  bool hasServer() const { return !instance_.empty(); }
  /// @return whether the server is to hold no keys.
  bool givesKeysAway() const { return draining_ || evacuated_; }
  bool tableIsRead() const { return !ports_.table_read || ports_.table_read(); }
  std::vector<OwnedRange> grantable() const;
  std::vector<OwnedRange> assignable(const KeyReport& report) const;
  std::vector<OwnedRange> resumable(const KeyReport& report) const;
  /// @return other servers that may be given keys, the least loaded first.
  std::vector<OwnerLocation> targets(TimePoint now) const;
  std::size_t rank() const;
  TableWriter::RestoreDelays restoreDelays() const;

  void onLeaseRevoked();
  /// A process that starts knows by the store's table alone what its server may be given. If the store has come back
  /// from a copy since the table was changed last, keys may have gone to others by changes that are lost: nothing is
  /// granted until the table has confirmed this node's ranges.
  void checkEpochAtStart();
  void createInitialTable(TimePoint now);
  void reconcileOwnRanges();
  void reassignDeadServerRanges(TimePoint now);
  void checkUnreachableOwners(TimePoint now);
  void takeOverRanges(const NodeName& node);
  /// Hands all keys over to these.
  void moveAllRanges(const std::vector<OwnerLocation>& to, TimePoint now);
  /// @return servers at which far fewer requests fail than here; empty while few fail here.
  std::vector<OwnerLocation> healthierTargets(TimePoint now) const;
  void balance(TimePoint now);
  BalanceInput balanceView(const std::vector<OwnedRange>& owned, TimePoint now) const;
  std::uint32_t rateOf(const KeyRange& keys, TimePoint now) const;
  double loadOf(const OwnerLocation& place, TimePoint now) const;
  void mergeRanges();

  void queueChange(const std::string& what, TableWriter::Edit edit, std::function<void(bool)> done = {});
  /// As `change`, for one that gives keys to other nodes.
  void queueTransfer(const std::string& what, const std::vector<OwnerLocation>& to, TableWriter::Edit edit,
                     std::function<void(bool)> done = {});
  void logEvent(const std::string& what, const std::string& detail);

  NodeIdentity self_;
  ServiceName service_;
  const OwnershipConfig& config_;
  OwnershipPorts ports_;
  TableWriter writer_;
  LeaseManager lease_;
  std::unique_ptr<GrantChannel> grants_;
  /// The same object if the server takes its keys by heartbeat; null otherwise.
  HeartbeatGrants* heartbeat_grants_ = nullptr;
  TakeoverWatcher takeover_;
  KeyMeter meter_;
  GainedKeys gains_;
  BalancePlanner planner_;
  KeyMoves moves_;

  /// Empty while no server runs here.
  InstanceId instance_;
  /// Empty unless a dead server's keys wait to be given away.
  InstanceId dead_instance_;
  TimePoint server_since_{};
  TimePoint last_tick_{};
  TimePoint next_balance_{};
  OfferedLoad offered_load_;
  double request_rate_ = 0;
  double failure_ratio_ = 0;

  bool draining_ = false;
  bool evacuated_ = false;
  /// The table that was known first has been compared with the store's epoch.
  bool start_checked_ = false;
  /// The lease was revoked, or may be, or `checkEpochAtStart` has found an old table: nothing is granted until the
  /// table has confirmed this node's ranges under new tokens.
  bool must_confirm_ = false;
  /// A change that this class makes by itself is queued; the next one waits for it.
  bool change_pending_ = false;
};

}  // namespace shedlever
