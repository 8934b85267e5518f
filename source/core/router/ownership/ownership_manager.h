#pragma once

/// @file
/// Key ownership at one node: what the node's server holds, and the changes that this node makes to the owner table.
/// There is no leader; each change is one conditional write.
/// What to do is decided in classes of their own, which this one calls at each tick: `GrantSelector` (what the server
/// may hold), `OwnerCandidates` and `KeyBalancer` (which keys to move, and to which servers), `TakeoverWatcher`.

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "shedlever/metadata_store.h"
#include "shedlever/server_commands.h"
#include "source/core/router/directory/server_directory.h"
#include "source/core/router/ownership/first_division.h"
#include "source/core/router/ownership/grant_selector.h"
#include "source/core/router/ownership/heartbeat_grants.h"
#include "source/core/router/ownership/key_balancer.h"
#include "source/core/router/ownership/key_load.h"
#include "source/core/router/ownership/key_moves.h"
#include "source/core/router/ownership/lease_manager.h"
#include "source/core/router/ownership/owner_candidates.h"
#include "source/core/router/ownership/owner_change.h"
#include "source/core/router/ownership/owner_table_edits.h"
#include "source/core/router/ownership/placement/service_planner.h"
#include "source/core/router/ownership/request_grants.h"
#include "source/core/router/ownership/shared_writes/shared_writes.h"
#include "source/core/router/ownership/table_writer.h"
#include "source/core/router/ownership/takeover_watcher.h"

namespace shedlever {

/// What is known of an instance of the local server that is no longer used.
enum class InstanceEnd : std::uint8_t {
  Suspected,  ///< it may still run and hold keys
  Certain,    ///< it holds no key
};

/// State of a key at a node: what the node may do with a request for it.
enum class KeyState : std::uint8_t {
  Held,            ///< start the request
  Pending,         ///< owned by this server; the grant is not confirmed yet
  Moving,          ///< being moved from this server to another
  OwnedElsewhere,  ///< owned by another server
};

/// A decision about ownership, for the log.
struct OwnershipEvent {
  std::string what;
  std::string detail;
};

/// Dependencies and callbacks; all must outlive the manager.
struct OwnershipPorts {
  MetadataStore* store = nullptr;
  ServerCommands* server_commands = nullptr;
  const Clock* clock = nullptr;
  ServerDirectory* directory = nullptr;
  /// The owner table changed or a range is newly held: requests that wait for their owner may proceed.
  std::function<void()> on_change;
  /// @return whether the owner table has been read from the store since this process started. Tables from other
  ///   processes may be older than the last change by this node's previous process.
  std::function<bool()> table_read;
  /// @return when the store was last asked for servers that are not known, and has answered. By default the known ones
  ///   are always all.
  std::function<TimePoint()> servers_confirmed_at = [] { return TimePoint::max(); };
  /// Checks the store for servers that are not known yet.
  std::function<void()> confirm_servers = [] {};
  /// Nothing listens at the server's address, or another instance does.
  std::function<void()> on_server_gone;
  std::function<void(const OwnershipEvent&)> on_event;
  /// Keys have other owners in the table, by a change of this process.
  std::function<void(const OwnerChange&)> on_owner_change = [](const OwnerChange&) {};
  /// A table was written that transfers keys to these nodes; they should receive it at once.
  /// @param delta difference from the table before the write.
  std::function<void(const OwnerTableDeltaFrame& delta, const std::set<NodeName>& recipients)> on_keys_transferred;
  /// Sends a plan for the whole service to another node.
  std::function<void(const NodeName&, const PlacementPlanFrame&)> send_plan = [](const NodeName&,
                                                                                 const PlacementPlanFrame&) {};
  /// Reports a step of a plan for the service.
  std::function<void(const PlacementEvent&)> on_placement = [](const PlacementEvent&) {};
  /// @return whether edits of the table can be sent to the node's process now.
  std::function<bool(const NodeName&)> can_send_edits = [](const NodeName&) { return false; };
  /// Opens a stream to the node.
  std::function<void(const NodeName&)> connect = [](const NodeName&) {};
  /// Sends edits to the node; the callback gets the reply, or nothing if none arrives within the timeout. Empty: this
  /// process writes its edits itself.
  std::function<void(const NodeName&, const TableEditsFrame&, Duration timeout, SharedWrites::ReplyCallback)>
      send_edits;
  /// Counts an event of shared writes; `event` is its name in the metrics.
  std::function<void(const std::string& event)> on_shared_write = [](const std::string&) {};
};

class OwnershipManager {
 public:
  OwnershipManager(NodeIdentity self, ServiceName service, const OwnershipConfig& config, OwnershipPorts ports);

  /// An instance of the local server is running.
  /// @param earlier what is known of the instance that was present until now, if there was one.
  void serverUp(const InstanceId& instance, InstanceEnd earlier, TimePoint now);
  /// The server accepts no connections. It may still run, so its keys are reassigned once all grants to it have run
  /// out.
  void serverGone();
  /// The server that accepts no connections has crashed, so that its keys may be reassigned at once.
  void serverCrashed(const InstanceId& instance);
  /// Takes over the lease of this node's previous process, as reported by other nodes.
  void inheritLease(TimePoint until) { lease_.inherit(until); }
  /// Another node's process has reported its lease.
  void onPeerLease(const NodeName& node, const PeerLease& lease) { takeover_.onPeerLease(node, lease); }
  /// The server is leaving or this node is stopping: moves all keys to other servers. Lasts until the next `serverUp`.
  void startDraining() { draining_ = true; }
  /// Servers in this node's zone are to get no keys. Like `startDraining`, but can be cancelled and applies across
  /// server restarts.
  void setEvacuated(bool evacuated) { evacuated_ = evacuated; }

  /// Handles a heartbeat of the server that is newer than all earlier ones. This and the other functions for heartbeats
  /// apply only to servers that get their grants by heartbeat.
  void onKeyReport(const KeyReport& report);
  /// @return whether acknowledging the heartbeat now would change what the server holds.
  bool wouldChange(const KeyReport& report) const;
  /// @return everything that the server is to hold; none if the acknowledgement must not contain keys.
  std::optional<KeyAssignment> assign(const KeyReport& report, TimePoint received);
  /// An acknowledgement has been sent.
  void onAcknowledged();
  /// @return whether all grants of the server have expired since its last heartbeat.
  bool serverGrantsLapsed(TimePoint now) const {
    return hasServer() && heartbeat_grants_ && heartbeat_grants_->allLapsed(now);
  }
  /// @return counters of grants by heartbeat; null if grants are sent by command.
  const HeartbeatGrantCounts* heartbeatCounts() const {
    return heartbeat_grants_ ? &heartbeat_grants_->counts() : nullptr;
  }

  /// The server refused a request because it does not hold the key.
  void onKeyRefused(Key key) { grants_->onKeyRefused(key); }

  /// Handles this node's share of a plan for the whole service, which another node has sent.
  void onPlacementPlan(const NodeName& sender, const PlacementPlanFrame& plan);

  /// Handles a listed or watched object of the table kind.
  void onTableObject(const MetadataObject& object) { writer_.onObject(object); }
  void onTableAbsent() { writer_.onAbsent(); }

  /// Another process of the service asks to write its edits. @param reply runs once, possibly inside the call.
  void onTableEdits(const TableEditsFrame& frame, std::function<void(const TableEditsReplyFrame&)> reply) {
    shared_writes_.onEdits(frame, std::move(reply));
  }

  /// Does what is due. Call about every 100 ms and after events.
  void tick(TimePoint now);

  KeyState keyState(Key key, TimePoint now) const;
  /// @return the owner of the key, for a process that sent a request for it to the wrong node.
  OwnerHint hintFor(Key key) const;
  /// Counts a request for the key.
  void onKeyRequest(Key key, TimePoint now) { key_load_.onRequest(key, now); }
  /// The request was refused because the server is full.
  void onKeyRequestRefused(Key key, TimePoint now) { key_load_.onRequestRefused(key, now); }
  /// @return requests per second for the keys of this node's server, as of the last tick.
  double requestRate() const { return request_rate_; }
  /// @param load offered to this node's server.
  void setOfferedLoad(const OfferedLoad& load) {
    balancer_.setOfferedLoad(load);
    planner_.setOwnLoad(load);
  }
  /// @param ratio share of recent requests that failed at this node's server.
  void setFailureRatio(double ratio) { balancer_.setFailureRatio(ratio); }

  /// @return whether this node owns no keys, so that it may stop.
  bool ownsNothing() const;

  const TableWriter& tableWriter() const { return writer_; }
  TimePoint leaseUntil() const { return lease_.validUntil(); }
  /// @return the end of the lease for reports to peers; zero while none may rely on it.
  TimePoint reportedLeaseUntil() const { return lease_.reportedUntil(); }
  StoreRevision leaseRevision() const { return lease_.renewedRevision(); }

 private:
  KeyMoves::Ports movePorts();
  ServicePlanner::Ports plannerPorts();
  GrantChannel::Events grantEvents();
  bool hasServer() const { return !instance_.empty(); }
  /// @return whether the server is to hold no keys.
  bool movesKeysAway() const { return draining_ || evacuated_; }
  bool tableIsRead() const { return !ports_.table_read || ports_.table_read(); }
  /// @return whether ranges may be granted to the server while the lease is valid.
  bool mayGrant() const { return hasServer() && !must_confirm_; }
  std::vector<OwnedRange> grantable() const;
  /// @return what the acknowledgement of this heartbeat may grant.
  std::vector<OwnedRange> assignable(const KeyReport& report) const;
  TableWriter::RestoreDelays restoreDelays() const;

  void onLeaseRevoked();
  /// Checks the first known table against the epoch of the store. After a start only the store's table says what the
  /// server may be granted. If the store has been restored from a backup since the last change of the table, lost
  /// changes may have moved keys to others; nothing is granted until this node's ranges are confirmed in the table.
  void checkEpochAtStart();
  void createInitialTable(TimePoint now);
  /// Creates the initial table for these servers.
  void divideFirst(const std::vector<OwnerLocation>& locations, TimePoint now);
  void reconcileOwnRanges();
  void reassignGoneServerRanges(TimePoint now);
  /// @return time from which earlier instances of the server hold no key; std::nullopt if they have ended for certain.
  std::optional<TimePoint> earlierHoldsUntil() const;
  EarlierGrants earlierGrants() const;
  void checkUnreachableOwners(TimePoint now);
  /// @param newest_token newest token in the table when the revocation of the node's lease was sent.
  void takeOverRanges(const NodeName& node, FenceToken newest_token);
  void balance(TimePoint now);
  /// Moves these keys of the server; does nothing if there are none.
  void startMoves(const KeyTransfer& moves);
  void mergeRanges();

  /// Who may write a change.
  enum class WrittenBy : std::uint8_t {
    AnyProcess,
    /// This one only, because the change rests on a lease.
    ThisProcess,
  };

  void queueChange(const std::string& what, std::vector<TableEdit> edits, TableWriter::Done done = {},
                   WrittenBy written_by = WrittenBy::AnyProcess);
  /// Queues a change that transfers keys to other nodes.
  void queueTransfer(const std::string& what, const std::vector<OwnerLocation>& to, std::vector<TableEdit> edits,
                     TableWriter::Done done = {}, WrittenBy written_by = WrittenBy::AnyProcess);
  SharedWrites::Ports sharedWritesPorts();
  /// Sends the difference of the table from the one before the last change.
  void sendTransferredKeys(const std::set<NodeName>& recipients);
  /// Queues the confirmation of this node's ranges under new tokens.
  void confirmOwnRanges();
  void logEvent(const std::string& what, const std::string& detail);
  /// @return a callback for the results of the edits, which reports the new owners in the table and then calls `done`.
  /// @param change without the transfers.
  TableWriter::Done reportOwners(OwnerChange change, std::vector<TableEdit> edits, TableWriter::Done done = {});
  /// Reports the initial table once it is in the store.
  void reportFirstDivision();
  /// @return the number of releases that ended because the grants expired.
  std::uint64_t lapsedReleases() const { return heartbeat_grants_ ? heartbeat_grants_->counts().lapsed : 0; }

  NodeIdentity self_;
  ServiceName service_;
  const OwnershipConfig& config_;
  OwnershipPorts ports_;
  TableWriter writer_;
  SharedWrites shared_writes_;
  GrantSelector grant_selector_;
  OwnerCandidates candidates_;
  LeaseManager lease_;
  std::unique_ptr<GrantChannel> grants_;
  /// The grant channel, if the server gets its grants by heartbeat; null otherwise.
  HeartbeatGrants* heartbeat_grants_ = nullptr;
  TakeoverWatcher takeover_;
  KeyLoad key_load_;
  KeyBalancer balancer_;
  ServicePlanner planner_;
  KeyMoves moves_;
  FirstDivision first_division_;

  /// Empty while no server runs.
  InstanceId instance_;
  /// The server that accepts no connections and whose keys are still to be reassigned; empty if there is none.
  InstanceId gone_instance_;
  /// Of the instance before the present one. A first report by heartbeat counts as the end of instances that an earlier
  /// process knew: a wait for their grants of some seconds would follow each loss of a whole machine.
  InstanceEnd earlier_end_ = InstanceEnd::Suspected;
  TimePoint server_since_{};
  TimePoint last_tick_{};
  double request_rate_ = 0;

  bool draining_ = false;
  bool evacuated_ = false;
  /// The first known table has been checked against the epoch of the store.
  bool start_checked_ = false;
  /// Nothing is granted until this node's ranges are confirmed in the table under new tokens: the lease was or may have
  /// been revoked, or the table was of an earlier epoch at start.
  bool must_confirm_ = false;
  /// The server has seen a higher token than that of the table from another process, so that the table may lack changes
  /// by this node's previous process.
  bool peer_table_outdated_ = false;
  /// Revocations of the lease so far; a confirmation counts only if there was none since it was queued.
  std::uint64_t revocations_ = 0;
  /// Value of `lapsedReleases` when the last moves began.
  std::uint64_t lapsed_before_moves_ = 0;
  /// The initial table that this process has sent to the store.
  std::optional<OwnerTable> sent_division_;
  /// Queued changes that have not ended. Reconciliation, reassignment and balancing wait until there are none.
  unsigned pending_changes_ = 0;
};

}  // namespace shedlever
