#pragma once

/// @file
/// What one process knows of the whole deployment: configuration, nodes, owners of keys. From the store, from other
/// processes' hints, and, while the store can't be reached, from what another process tells.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "shedlever/platform_ports.h"
#include "source/core/router/active_config.h"
#include "source/core/router/evacuated_zones.h"
#include "source/core/router/owner_view.h"
#include "source/core/router/route_table.h"
#include "source/core/router/server_directory.h"
#include "source/core/router/table_writer.h"
#include "source/router/event_log.h"
#include "source/router/kind_poller.h"
#include "source/router/kind_watcher.h"
#include "source/router/node_records.h"

namespace shedlever {

/// What the knowledge is built from; everything outlives it.
struct ClusterStatePorts {
  EventLoop* loop = nullptr;
  const Clock* clock = nullptr;
  RandomSource* random = nullptr;
  MetadataStore* store = nullptr;
  const ConfigProtocol* config = nullptr;
  ServerDirectory* directory = nullptr;
  EventLog* log = nullptr;
  /// Whether operators may evacuate zones.
  bool evacuation_enabled = false;
};

struct ClusterStateEvents {
  /// A newer configuration is adopted.
  std::function<void()> on_config_adopted;
  /// All node records have been read since the store has come back from a copy. @param own record of this node that the
  /// copy holds; null if it has none.
  std::function<void(const NodeRecord* own)> on_node_records_restored = [](const NodeRecord*) {};
  /// Another process has heard of that epoch of the store.
  std::function<void(StoreEpoch)> on_epoch_observed = [](StoreEpoch) {};
  /// The nodes have changed.
  std::function<void()> on_nodes_changed;
  /// An object of that name can't be read, and is left out.
  std::function<void(const std::string& name)> on_unreadable;
  /// A node's record was read. @param own of this node.
  std::function<void(const NodeRecord& record, bool own)> on_record;
  /// It is known which zones are evacuated, or that has changed.
  std::function<void()> on_evacuations_changed;
  /// The owners of another service's keys have changed.
  std::function<void()> on_owners_changed;
  /// The owner table of this node's service was read.
  std::function<void(const MetadataObject&)> on_own_table;
  /// All nodes and tables have been read once, or were told.
  std::function<void()> on_synced;
  /// The node's process has a later version of the configuration in force than this one, which has that version.
  std::function<void(const NodeName&, ConfigVersion known)> request_config = [](const NodeName&, ConfigVersion) {};
  /// The node's process has a newer owner table of its service than this one, which has that revision.
  std::function<void(const NodeName&, StoreRevision known)> request_owner_table;
};

class ClusterState {
 public:
  ClusterState(NodeName self, ServiceName own_service, const ClusterStatePorts& ports, ClusterStateEvents events);
  ~ClusterState() { *alive_ = false; }
  ClusterState(const ClusterState&) = delete;
  ClusterState& operator=(const ClusterState&) = delete;

  /// Begins to read the store.
  void start();

  /// The store has come back from a copy: all is read anew.
  void onStoreRestored();

  /// @return the configuration in force; null while none is known.
  const std::shared_ptr<const RouteTable>& routes() const { return config_.routes(); }
  /// @return the parts of the newest configuration read, with their revisions.
  const std::map<std::string, StoreRevision>& configRevisions() const { return config_.revisions(); }
  /// @return whether configuration, nodes and tables are known.
  bool complete() const { return routes() != nullptr && synced(); }
  bool synced() const { return nodes_listed_ && tables_listed_ && evacuationsKnown(); }
  /// @return whether it is known which zones are evacuated.
  bool evacuationsKnown() const { return !evacuation_watcher_ || evacuations_.known(); }
  const EvacuatedZones& evacuations() const { return evacuations_; }

  /// @return whether the store itself has told the owner tables since this process started.
  bool tablesRead() const { return tables_read_; }

  /// The table of this node's service is held there from now on.
  void setOwnTable(const TableWriter* table) { own_table_ = table; }
  /// @return the table object of this node's service; null while there is none.
  const MetadataObject* ownTableObject() const;

  /// @return who owns the key; empty while nobody does, or it is not known.
  KeyOwner ownerOf(const ServiceName& service, Key key);
  void addOwnerHint(const ServiceName& service, const OwnerHint& hint);
  /// A node was reached, or lost.
  void onPeerReachabilityChanged() { table_poller_.scheduleNextList(); }
  /// Another process has written this table.
  void onOwnerTable(const ObjectCopy& table);

  /// The node's process, of that service, has seen these.
  void onPeerRevisions(const NodeName& node, const ServiceName& service, const KnownRevisions& revisions);
  /// @return the newest objects seen here.
  KnownRevisions knownRevisions() const;

  /// Asks the store whether anything was missed, if what is known is too old. To be called every 50 ms or so, while
  /// requests come: what nobody needs may be old.
  void tick();

  /// @return how long ago the configuration that is known was the newest for sure.
  Duration configStaleness() const { return config_watcher_.staleness(); }
  /// As `configStaleness`, of the node records.
  Duration nodesStaleness() const { return node_watcher_.staleness(); }
  /// @return the owner table of this node's service if it is newer than that revision.
  std::optional<ObjectCopy> ownTableNewerThan(StoreRevision known) const;

  /// @return the configuration in force if its version is above that one.
  std::optional<ConfigFrame> configNewerThan(ConfigVersion known) const;
  /// Another process has told the configuration in force there.
  void onPeerConfig(const ConfigFrame& told);

  /// The node's process has its lease until then at least.
  void noteLease(const NodeName& node, TimePoint until);
  /// @return what to tell the node's process, which knows nothing; none while this one does not know much itself.
  std::optional<ClusterSnapshotFrame> snapshotFor(const NodeName& node) const;
  /// Another process told what it knows.
  void applySnapshot(const ClusterSnapshotFrame& state);

 private:
  KindPoller::Events pollerEvents();
  void createEvacuationWatcher();
  void onEvacuationsChanged();
  ActiveConfig::Events configEvents();
  void onConfigAdopted();
  /// Another process has told which version is in force there: asks for it if the store can't tell it here, since this
  /// process has read its copy alone.
  void onPeerConfigVersion(const NodeName& node, const KnownRevisions& revisions);
  /// All records of nodes have been listed.
  void onNodesListed();
  void onStoredObject(const MetadataObject& object, bool deleted);
  void onNodeObject(const MetadataObject& object, bool deleted);
  /// The more nodes there are, the longer each waits between two looks at their records.
  void updateNodeWatchPause();
  void onTableObject(const MetadataObject& object);
  void onListed(bool& list);
  const TableWriter* tableOf(const ServiceName& service) const;
  /// @return whether a service that is divided by key, and has servers, has no table here.
  bool hasMissingTables() const;
  /// @return whether all owners of some service's keys can't be reached: no reply tells of the next owners then.
  bool hasServiceWithoutReachableOwners() const;
  /// @return what owner tables are lacking.
  ListNeed tableNeed() const;
  StoreRevision tableRevision(const ServiceName& service) const;
  /// Asks the process that has a newer table, at most now and then; the store only if that does not answer.
  void requestNewerTable(const NodeName& node, const ServiceName& service, StoreRevision revision);

  NodeName self_;
  ServiceName own_service_;
  ClusterStatePorts ports_;
  ClusterStateEvents events_;
  ActiveConfig config_;
  KindWatcher config_watcher_;
  KindWatcher node_watcher_;
  KindPoller table_poller_;
  EvacuatedZones evacuations_;
  /// Null where operators can't evacuate zones.
  std::unique_ptr<KindWatcher> evacuation_watcher_;
  TimePoint started_;
  bool nodes_listed_ = false;
  bool tables_listed_ = false;
  bool tables_read_ = false;
  /// No question for the configuration before.
  TimePoint next_config_request_at_{};
  /// Era in which the node records, and the owner tables, were listed last.
  StoreEpoch nodes_listed_epoch_ = 0;
  StoreEpoch tables_listed_epoch_ = 0;
  /// Objects as the store has them, for processes that start while it can't be reached.
  std::map<std::string, MetadataObject> stored_objects_;
  /// Tables of other services than this node's.
  std::map<ServiceName, std::unique_ptr<TableWriter>> tables_;
  const TableWriter* own_table_ = nullptr;
  /// The last question for a service's owner table.
  struct TableRequest {
    TimePoint requested_at{};
    /// The process did not answer with a table of this revision: the store is asked. 0: it has time left, or did.
    StoreRevision unanswered_revision;
  };
  std::map<ServiceName, TableRequest> table_requests_;
  std::map<ServiceName, OwnerView> owner_views_;
  std::map<NodeName, TimePoint> lease_ends_;
  /// Set to false by the destructor, for timers.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
