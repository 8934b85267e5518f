#pragma once

/// @file
/// Simulates in virtual time a cluster of nodes that share the keys of one service. Runs the production ownership
/// managers against a store, servers and network with injected faults. Checks after each event that no key has two
/// owners, and that fencing tokens increase.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "source/core/router/ownership/ownership_manager.h"
#include "source/lab/sim/ownership_checks.h"
#include "source/lab/sim/simulated_server.h"
#include "source/lab/sim/virtual_store.h"

namespace shedlever::sim {

/// Faults of the commands to a server and of its heartbeats.
struct ServerFaults {
  /// Commands and heartbeats are lost.
  bool silent = false;
  /// Probability that a command gets no response and is applied 2 to 12 s later, or that a heartbeat arrives so late.
  double late_probability = 0;
  /// Probability that a heartbeat's acknowledgement is lost.
  double lost_acknowledgement_probability = 0;
  /// Probability that a heartbeat arrives twice.
  double duplicate_probability = 0;
  /// Requests for keys that a command releases still run for this long; the release is answered when they have ended.
  /// Must be shorter than the timeout of a command.
  Duration work_after_release{};
};

/// Faults of the edits that processes send to each other, and of the replies.
struct EditFaults {
  /// Nothing passes to or from the node.
  bool cut = false;
  /// Probability that a message is lost.
  double lost_probability = 0;
  /// Probability that a message arrives 1 to 9 s late.
  double late_probability = 0;
};

/// Nodes are identified by their indexes. Each node has a process, a server and a zone of its own.
class SimulatedCluster {
 public:
  SimulatedCluster(std::size_t nodes, std::uint64_t seed, const OwnershipConfig& config = {});
  ~SimulatedCluster();

  void run(Duration span);
  TimePoint now() const { return time_.now(); }

  /// Stops all processes and servers.
  void killAll();
  /// Starts all servers and processes.
  void startAll();
  /// Stops the process; the server continues.
  void killNode(std::size_t node);
  void restartNode(std::size_t node);
  /// As `restartNode`; the process learns from peers how long the lease of its predecessor lasts.
  void restartNodeWithLease(std::size_t node);
  /// As `restartNodeWithLease`; the process receives this owner table from peers.
  void restartNodeWithPeerTable(std::size_t node, const MetadataObject& table);
  /// As `restartNode`; the process knows the records of stopped nodes but does not learn that they are unreachable.
  void restartNodeWithRecordsOnly(std::size_t node);
  /// @return the owner table in the store.
  MetadataObject table() const;
  /// @return the node's lease in the store.
  LeaseRecord lease(std::size_t node) const;
  /// Pauses the process; its server continues.
  void pauseNode(std::size_t node);
  void resumeNode(std::size_t node);
  /// Crashes all server instances at the node; commands to its address fail with ServerGone.
  void killServer(std::size_t node);
  /// Crashes all server instances at the node and starts a new one, which reports at once.
  void startServer(std::size_t node);
  void drainServer(std::size_t node);
  /// The server accepts no more connections but runs on: it holds its keys until its grants end, processes the requests
  /// that it has begun and sends heartbeats.
  void refuseConnections(std::size_t node);
  /// The node's process opens a connection to its server, as for a request or a health check.
  void connectToServer(std::size_t node);
  /// Starts a new server instance that accepts the connections to the node's address but has not reported yet. Earlier
  /// instances run on as with `refuseConnections`.
  void startUnreportedServer(std::size_t node);
  /// The first report of the instance that accepts connections reaches the node's process.
  void reportServer(std::size_t node);
  /// Crashes all server instances at the node except the one that accepts connections.
  void killEarlierServers(std::size_t node);
  /// Evacuates the node's zone, or ends its evacuation. All processes learn of the change at once, and new processes
  /// when they start.
  void setEvacuated(std::size_t node, bool evacuated);
  /// Makes a backup of the store, which replaces the previous one.
  void copyStore() { store_.keepCopy(); }
  /// Restores the store from the backup. Processes detect the new epoch in its responses.
  void restoreStore() { store_.restoreCopy(); }
  void silenceServer(std::size_t node, bool silent);
  void setStoreFaults(std::size_t node, const StoreFaults& faults);
  void setServerFaults(std::size_t node, const ServerFaults& faults);
  void setEditFaults(std::size_t node, const EditFaults& faults);
  /// Assigns the lower half of the keys to two owners in alternating ranges, as after many moves.
  void interleaveRanges(std::size_t first, std::size_t second, std::size_t ranges);
  /// Sets the occupancy that the node's server reports.
  void setOccupancy(std::size_t node, double occupancy);
  /// Sets the failure ratio that the node's server reports.
  void setFailureRatio(std::size_t node, double failure_ratio);
  void addKeyRequests(std::size_t node, Key key, int requests);
  /// As `addKeyRequests`, for each sampled key.
  void addRequestsOnSampledKeys(std::size_t node, int requests);

  /// @return the number of sampled keys that are served, summed over all nodes.
  std::size_t servedKeys() const;
  std::size_t sampledKeys() const { return kSampleCount; }
  /// @return the owner hint that the node returns for a key that it does not own.
  OwnerHint hint(std::size_t node, Key key) const;
  /// @return the node that serves each sampled key; empty for a key that no node serves.
  std::vector<std::optional<std::size_t>> servingNodes() const;
  /// @return the number of changes to objects in the store; it goes back when the store is restored.
  std::uint64_t storeChanges() const { return store_.revision().count; }
  /// @return the number of successful writes of owner tables.
  std::uint64_t tableWrites() const { return store_.writes(kTableKind); }
  /// @return the number of calls that created or replaced owner tables, or tried to, and of those that read them.
  std::uint64_t tableWriteCalls() const { return store_.writeCalls(kTableKind); }
  std::uint64_t tableReads() const { return store_.reads(kTableKind); }
  /// @return the number of changes that processes have ended, by what became of them.
  std::uint64_t tableChanges(const std::string& outcome) const;
  /// @return the changes of owners that the processes have reported, in order.
  const std::vector<OwnerChange>& ownerChanges() const { return owner_changes_; }
  /// @return the number of sampled keys that the node serves.
  std::size_t servedBy(std::size_t node) const;
  /// @return the number of sampled keys that running server instances of the node hold, with those that refuse
  ///   connections.
  std::size_t heldAt(std::size_t node) const;

  /// @return how often a table was checked that a process had sent after a write, as a difference, to a process that
  /// knew
  ///   the table before.
  std::uint64_t checkedTransfers() const { return checked_transfers_; }

  /// @return one message for each violation found so far.
  const std::vector<std::string>& violations() const { return checks_.violations(); }

 private:
  static constexpr std::size_t kSampleCount = OwnershipChecks::kSampleCount;
  struct Node;
  class ServerCommandChannel;

  bool serves(const Node& node, Key key) const;
  void startProcess(Node& node);
  void applyEvacuations(Node& node);
  void readTable(Node& node);
  void onKeysTransferred(const Node& writer, const OwnerTableDeltaFrame& delta);
  /// Sends a heartbeat of the server and schedules the next one.
  void sendHeartbeat(Node& node, const std::shared_ptr<SimulatedServer>& server);
  /// Schedules a heartbeat, which is skipped if another one is sent first.
  void scheduleHeartbeat(Node& node, const std::shared_ptr<SimulatedServer>& server, Duration delay);
  void deliverHeartbeat(Node& node, const std::shared_ptr<SimulatedServer>& server, const KeyReport& report,
                        std::uint64_t sequence, TimePoint sent);
  /// Handles a refused connection to the node's server, as a router process does.
  void onConnectionRefused(Node& node);
  void tickNode(std::size_t index, std::uint64_t process_generation);
  /// Reports the load and failure ratio of the node's server to all running processes.
  void reportLoad(std::size_t node);
  void propagateRecords();
  void propagateTable();
  /// Reports the node's lease to the other running processes, as its replies do.
  void reportLease(const Node& from);
  /// Lets the node's process send edits to others.
  void addEditPorts(Node& node, OwnershipPorts& ports);
  void sendEdits(Node& from, Node& to, const TableEditsFrame& frame, Duration timeout,
                 const SharedWrites::ReplyCallback& done);
  /// Runs the event at the node's process after the delay of the network; a paused process runs it when it resumes.
  void deliver(Node& from, Node& to, std::function<void()> event);
  /// @return all running servers, with several instances at one node.
  OwnershipChecks::Servers running() const;
  void checkAcquisition(const SimulatedServer& server, Key first, Key last, FenceToken token);
  bool happens(double probability);

  VirtualTime time_;
  SeededRandom random_;
  StoreState store_;
  OwnershipConfig config_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::set<ZoneName> evacuated_;
  std::uint64_t last_instance_ = 0;
  std::uint64_t last_incarnation_ = 0;
  StoreRevision propagated_revision_;
  OwnershipChecks checks_;
  std::uint64_t checked_transfers_ = 0;
  /// Set while several nodes change at once, so that the records are propagated once.
  bool holds_records_ = false;
  std::map<std::string, std::uint64_t> table_changes_;
  std::vector<OwnerChange> owner_changes_;
};

}  // namespace shedlever::sim
