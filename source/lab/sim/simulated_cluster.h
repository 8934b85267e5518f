#pragma once

/// @file
/// Several nodes that share the keys of one service, on virtual time: real ownership keepers over a store, servers and
/// links that fail as told. Checks after each step that no key has two owners and that fencing tokens rise.

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

#include "source/core/router/ownership_manager.h"
#include "source/lab/sim/ownership_checks.h"
#include "source/lab/sim/simulated_server.h"
#include "source/lab/sim/virtual_store.h"

namespace shedlever::sim {

/// How orders to one server go, or its heartbeats.
struct ServerFaults {
  /// Nothing answers, nothing is done; heartbeats don't arrive.
  bool silent = false;
  /// Chance that an order gets no answer and is carried out 2 to 12 s later; that a heartbeat comes so late.
  double late_probability = 0;
  /// Chance that a heartbeat's acknowledgement is lost.
  double lost_acknowledgement_probability = 0;
  /// Chance that a heartbeat comes twice.
  double duplicate_probability = 0;
};

/// See the file's comment.
class SimulatedCluster {
 public:
  SimulatedCluster(std::size_t nodes, std::uint64_t seed, const OwnershipConfig& config = {});
  ~SimulatedCluster();

  void run(Duration span);

  /// The process is gone; the server goes on.
  void killNode(std::size_t node);
  void restartNode(std::size_t node);
  /// As `restartNode`; others tell the process what is left of the lease of the one before it.
  void restartNodeWithLease(std::size_t node);
  /// As `restartNodeWithLease`; the table that others tell is this one.
  void restartNodeWithPeerTable(std::size_t node, const MetadataObject& table);
  /// As `restartNode`; of nodes that are dead the process knows the record alone, and never hears that they can't be
  /// reached.
  void restartNodeWithRecordsOnly(std::size_t node);
  /// @return the owner table as the store has it.
  MetadataObject table() const;
  /// The process stands still; its server goes on.
  void pauseNode(std::size_t node);
  void resumeNode(std::size_t node);
  /// The server ends; what listens at its address refuses.
  void killServer(std::size_t node);
  /// A new life of the server begins beside the node.
  void startServer(std::size_t node);
  void drainServer(std::size_t node);
  /// The zone of the node, which is its alone, is to get nothing; every process hears of it at once, also one that
  /// starts later. @param evacuated false: the wish is withdrawn.
  void setEvacuated(std::size_t node, bool evacuated);
  /// The store keeps a copy of all that it holds.
  void copyStore() { store_.keepCopy(); }
  /// The store goes back to the copy. Processes learn of it by what it answers.
  void restoreStore() { store_.restoreCopy(); }
  void silenceServer(std::size_t node, bool silent);
  void setStoreFaults(std::size_t node, const StoreFaults& faults);
  void setServerFaults(std::size_t node, const ServerFaults& faults);
  /// Lays the keys of two owners out in so many ranges that take turns, as many moves would.
  void interleaveRanges(std::size_t first, std::size_t second, std::size_t ranges);
  /// Occupancy that the node's server shows from now on.
  void setOccupancy(std::size_t node, double occupancy);
  /// Share of failed requests that the node's server shows from now on.
  void setFailureRatio(std::size_t node, double share);
  void addKeyRequests(std::size_t node, Key key, int requests);
  /// As `addKeyRequests`, for each of the keys looked at.
  void addRequestsOnSampledKeys(std::size_t node, int requests);

  /// @return how many keys, of those looked at, some node would begin requests for.
  std::size_t servedKeys() const;
  std::size_t sampledKeys() const { return kSampleCount; }
  /// @return what the node tells who asks it for the key in vain.
  OwnerHint hint(std::size_t node, Key key) const;
  /// @return who would begin requests for each of the keys looked at; none where nobody would.
  std::vector<std::optional<std::size_t>> servingNodes() const;
  /// @return changes of the store's objects so far.
  std::uint64_t storeChanges() const { return store_.revision().count; }
  /// @return how often owner tables were written, refused writes not counted.
  std::uint64_t tableWrites() const { return store_.writes(kTableKind); }
  /// @return how many keys, of those looked at, the node would begin requests for.
  std::size_t servedBy(std::size_t node) const;

  /// Everything that was broken, in words; empty if nothing was.
  const std::vector<std::string>& violations() const { return checks_.violations(); }

 private:
  static constexpr std::size_t kSampleCount = OwnershipChecks::kSampleCount;
  struct Node;
  class ServerCommandChannel;

  bool serves(const Node& node, Key key) const;
  void startProcess(Node& node);
  void applyEvacuations(Node& node);
  void readTable(Node& node);
  /// The server beside the node sends a heartbeat, and plans the next one.
  void sendHeartbeat(Node& node);
  /// Plans a heartbeat, unless another one is sent before.
  void scheduleHeartbeat(Node& node, Duration pause);
  void deliverHeartbeat(Node& node, const KeyReport& report, std::uint64_t sequence, TimePoint sent);
  void tickNode(std::size_t index, std::uint64_t process_generation);
  /// Every live node hears what the node's server shows.
  void reportLoad(std::size_t node);
  void propagateRecords();
  void propagateTable();
  /// Other live nodes hear of the node's lease, as from its replies.
  void reportLease(const Node& from);
  /// @return all servers that run.
  OwnershipChecks::Servers running() const;
  void checkAcquisition(const SimulatedServer& server, Key first, Key last, FenceToken token);
  bool happens(double chance);

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
};

}  // namespace shedlever::sim
