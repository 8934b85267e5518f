#pragma once

/// @file
/// One process's view of the cluster: configuration, nodes, evacuated zones and key owners (`OwnerTables`). The view is
/// filled from the store, from peers' replies and, while the store is unreachable, from a peer's snapshot.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "shedlever/platform_ports.h"
#include "source/core/router/directory/evacuated_zones.h"
#include "source/core/router/directory/server_directory.h"
#include "source/core/router/routes/active_config.h"
#include "source/core/router/routes/route_table.h"
#include "source/router/event_log.h"
#include "source/router/kind_watcher.h"
#include "source/router/node_records.h"
#include "source/router/owner_tables.h"

namespace shedlever {

/// Dependencies of `ClusterState`; all of them outlive it.
struct ClusterStatePorts {
  EventLoop* loop = nullptr;
  const Clock* clock = nullptr;
  RandomSource* random = nullptr;
  MetadataStore* store = nullptr;
  const ConfigProtocol* config = nullptr;
  ServerDirectory* directory = nullptr;
  EventLog* log = nullptr;
  /// Whether operators can evacuate zones.
  bool evacuation_enabled = false;
  /// Time after which a change of the configuration must be in effect.
  Duration config_time_limit = std::chrono::seconds(2);
};

struct ClusterStateEvents {
  /// A newer configuration has become active.
  std::function<void()> on_config_adopted;
  /// All node records have been listed after the store was restored from a backup.
  /// @param own record of this node in the backup; null if there is none.
  std::function<void(const NodeRecord* own)> on_node_records_restored = [](const NodeRecord*) {};
  /// A peer has observed this epoch of the store.
  std::function<void(StoreEpoch)> on_epoch_observed = [](StoreEpoch) {};
  /// A node was added, changed or removed.
  std::function<void()> on_nodes_changed;
  /// An object with this name could not be decoded and is ignored.
  std::function<void(const std::string& name)> on_unreadable;
  /// A node record was read.
  /// @param own whether the record belongs to this node.
  std::function<void(const NodeRecord& record, bool own)> on_record;
  /// Values of the active configuration could not be decoded. @param count number of these values.
  std::function<void(std::size_t count)> on_config_values_ignored = [](std::size_t) {};
  /// The evacuated zones have become known or have changed.
  std::function<void()> on_evacuations_changed;
  /// The key owners of a service other than this node's have changed.
  std::function<void()> on_owners_changed;
  /// The owner table of this node's service was received.
  std::function<void(const MetadataObject&)> on_own_table;
  /// Nodes, owner tables and evacuations are known; called again after each further list of them and each snapshot.
  std::function<void()> on_synced;
  /// Requests the configuration from a node whose active version is above `known`, the version of this process.
  std::function<void(const NodeName&, ConfigVersion known)> request_config = [](const NodeName&, ConfigVersion) {};
  /// Requests the owner table of a node's service.
  std::function<void(const NodeName&, const OwnerTableRequestFrame&)> request_owner_table;
};

class ClusterState {
 public:
  ClusterState(NodeName self, const ServiceName& own_service, const ClusterStatePorts& ports,
               ClusterStateEvents events);
  ~ClusterState() { *alive_ = false; }
  ClusterState(const ClusterState&) = delete;
  ClusterState& operator=(const ClusterState&) = delete;

  /// Starts reading the store.
  void start();

  /// Reads everything again after the store was restored from a backup.
  void onStoreRestored();

  /// @return the active configuration; null while none is known.
  const std::shared_ptr<const RouteTable>& routes() const { return config_.routes(); }
  /// @return the parts of the newest configuration that was read, with their revisions.
  const std::map<std::string, StoreRevision>& configRevisions() const { return config_.revisions(); }
  /// @return whether the configuration, nodes, owner tables and evacuations are known.
  bool complete() const { return routes() != nullptr && synced(); }
  /// @return whether nodes, owner tables and evacuations have been received once, from the store or from a snapshot.
  bool synced() const { return nodes_listed_ && tables_listed_ && evacuationsKnown(); }
  /// @return whether the evacuated zones are known; always true where evacuation is disabled.
  bool evacuationsKnown() const { return !evacuation_watcher_ || evacuations_.known(); }
  const EvacuatedZones& evacuations() const { return evacuations_; }

  OwnerTables& owners() { return owners_; }
  const OwnerTables& owners() const { return owners_; }

  /// A node became reachable or unreachable.
  void onPeerReachabilityChanged() { owners_.scheduleNextList(); }

  /// Compares the newest revisions known to a node of the given service with this process's and catches up.
  void onPeerRevisions(const NodeName& node, const ServiceName& service, const KnownRevisions& revisions);
  /// @return the newest revisions known to this process, to be reported to peers.
  KnownRevisions knownRevisions() const;

  /// Checks the store for missed changes if this view is too stale. Called about every 50 ms while requests arrive; a
  /// process without requests may keep a stale view.
  void tick();

  /// @return time since the known configuration was last confirmed to be the newest.
  Duration configStaleness() const { return config_watcher_.staleness(); }
  /// @return time since the known node records were last confirmed to be the newest.
  Duration nodesStaleness() const { return node_watcher_.staleness(); }
  /// @return when the store was last asked for node records, and has answered; zero if it never has.
  TimePoint nodesConfirmedAt() const { return node_watcher_.confirmedAt(); }
  /// Checks the store for node records that are not known yet.
  void confirmNodes() { node_watcher_.check(); }
  /// @return the active configuration if its version is above `known`.
  std::optional<ConfigFrame> configNewerThan(ConfigVersion known) const;
  /// A peer has sent its active configuration.
  void onPeerConfig(const ConfigFrame& config);

  /// Records that the lease of a node's process is valid at least until the given time.
  void noteLease(const NodeName& node, TimePoint until);
  /// @return snapshot for a node's process that has just started; none while this view is incomplete.
  std::optional<ClusterSnapshotFrame> snapshotFor(const NodeName& node) const;
  /// Adopts what a peer's snapshot contains.
  void applySnapshot(const ClusterSnapshotFrame& snapshot);

 private:
  OwnerTablesEvents ownerEvents();
  void createEvacuationWatcher();
  void onEvacuationsChanged();
  ActiveConfig::Events configEvents();
  void onConfigAdopted();
  /// Requests the configuration from a peer whose active version is higher, unless the store is about to deliver a
  /// newer object. A store that was restored from a backup may lack the active version.
  void onPeerConfigVersion(const NodeName& node, const KnownRevisions& revisions);
  void onNodesListed();
  void onNodeObject(const MetadataObject& object, bool deleted);
  /// Handles a node record or an owner table from a snapshot.
  void onSharedObject(const MetadataObject& object);
  /// Lengthens the pause of the node watch with the number of nodes, to limit the store's load.
  void updateNodeWatchPause();
  void onListed(bool& listed);

  NodeName self_;
  ClusterStatePorts ports_;
  ClusterStateEvents events_;
  ActiveConfig config_;
  KindWatcher config_watcher_;
  KindWatcher node_watcher_;
  OwnerTables owners_;
  EvacuatedZones evacuations_;
  /// Null where evacuation is disabled.
  std::unique_ptr<KindWatcher> evacuation_watcher_;
  TimePoint started_;
  bool nodes_listed_ = false;
  bool tables_listed_ = false;
  /// Earliest time of the next request to a peer for its configuration.
  TimePoint next_config_request_at_{};
  /// Store epoch of the last list of the node records.
  StoreEpoch nodes_listed_epoch_ = 0;
  /// Node records by name, as stored.
  std::map<std::string, MetadataObject> stored_nodes_;
  std::map<NodeName, TimePoint> lease_ends_;
  /// Set to false by the destructor, for timers.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
