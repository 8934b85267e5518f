#pragma once

/// @file
/// What one process knows of the key owners of all services: the newest owner tables, from the store and from peers,
/// and the hints in peers' replies.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "source/core/router/directory/server_directory.h"
#include "source/core/router/ownership/owner_view.h"
#include "source/core/router/ownership/table_writer.h"
#include "source/core/router/routes/route_table.h"
#include "source/router/event_log.h"
#include "source/router/kind_poller.h"

namespace shedlever {

/// Dependencies of `OwnerTables`; all of them outlive it.
struct OwnerTablesPorts {
  EventLoop* loop = nullptr;
  const Clock* clock = nullptr;
  MetadataStore* store = nullptr;
  const ServerDirectory* directory = nullptr;
  EventLog* log = nullptr;
};

/// Callbacks of `OwnerTables`.
struct OwnerTablesEvents {
  /// @return the active configuration; null while none is known.
  std::function<const RouteTable*()> routes;
  /// The key owners of a service other than this node's have changed.
  std::function<void()> on_owners_changed;
  /// The owner table of this node's service was received.
  std::function<void(const MetadataObject&)> on_own_table;
  /// The owner tables have been listed.
  std::function<void()> on_listed;
  /// A peer has observed this epoch of the store.
  std::function<void(StoreEpoch)> on_epoch_observed;
  /// Requests the owner table of a node's service.
  std::function<void(const NodeName&, const OwnerTableRequestFrame&)> request_owner_table;
};

/// Peers' replies state the revisions of their tables; newer ones are requested from them. The store is listed
/// periodically, and earlier if no peer can provide a table.
class OwnerTables {
 public:
  OwnerTables(ServiceName own_service, const OwnerTablesPorts& ports, OwnerTablesEvents events);
  ~OwnerTables() { *alive_ = false; }
  OwnerTables(const OwnerTables&) = delete;
  OwnerTables& operator=(const OwnerTables&) = delete;

  /// @return whether an object with this name is an owner table.
  static bool isTableName(const std::string& name);

  /// Starts reading the store.
  void start() { poller_.start(); }
  /// Something has changed that may call for a list of the store earlier than planned.
  void scheduleNextList() { poller_.scheduleNextList(); }

  /// @return whether the tables have been listed from the store itself since the start.
  bool isRead() const { return read_; }

  /// Sets the table of this node's service, which is maintained outside this class.
  void setOwnTable(const TableWriter* table) { own_table_ = table; }
  /// @return the stored table object of this node's service; null while there is none.
  const MetadataObject* ownTableObject() const;
  /// @return revision of the known table of this node's service; none if there is no table.
  StoreRevision ownRevision() const { return revisionOf(own_service_); }

  /// @return the owner of the key; empty while the key has no owner or the owner is unknown.
  KeyOwner ownerOf(const ServiceName& service, Key key);
  void addHint(const ServiceName& service, const OwnerHint& hint);

  /// Handles a table from the store or from a snapshot; ignored if it is older than the known one.
  void onStoredTable(const MetadataObject& object);
  /// A peer has sent an owner table.
  void onTable(const ObjectCopy& table);
  /// A node has sent the difference of its table from an earlier one. If this process does not have the earlier one, it
  /// requests the difference from the one that it has.
  void onDelta(const NodeName& node, const OwnerTableDeltaFrame& delta);
  /// A node of the service knows the table of this revision.
  void onPeerRevision(const NodeName& node, const ServiceName& service, StoreRevision revision);

  /// @return the owner table of this node's service, or its difference from the peer's; none if it is not newer.
  std::optional<RouterFrame> answerRequest(const OwnerTableRequestFrame& request) const;
  /// @return the tables as stored, for a snapshot.
  std::vector<ObjectCopy> copies() const;

 private:
  /// The last request to a peer for a service's owner table.
  struct Request {
    TimePoint requested_at{};
    /// Revision whose reply has timed out; the store is listed while the known table is older. 0 before any timeout.
    StoreRevision unanswered_revision;
  };

  KindPoller::Events pollerEvents();
  const TableWriter* tableOf(const ServiceName& service) const;
  StoreRevision revisionOf(const ServiceName& service) const;
  /// @return whether a keyed service with ready servers has no known owner table.
  bool hasMissingTables() const;
  /// @return whether all key owners of some service are unreachable, so that no reply can name the next owners.
  bool hasServiceWithoutReachableOwners() const;
  /// @return why the owner tables have to be listed, if at all.
  ListNeed need() const;
  /// @return the request for a newer table than the known one of the service.
  OwnerTableRequestFrame requestFor(const ServiceName& service) const;
  /// Requests a newer table from a peer, at a limited rate; the store is read only if the peer does not reply in time.
  void requestNewer(const NodeName& node, const ServiceName& service, StoreRevision revision);
  /// @param expected revision of the table that the node has; the store is listed unless this revision or a newer one
  ///   is received in time.
  void sendRequest(const NodeName& node, const ServiceName& service, StoreRevision expected,
                   const OwnerTableRequestFrame& request);

  ServiceName own_service_;
  OwnerTablesPorts ports_;
  OwnerTablesEvents events_;
  KindPoller poller_;
  bool read_ = false;
  /// Store epoch of the last list.
  StoreEpoch listed_epoch_ = 0;
  /// By name, as stored.
  std::map<std::string, MetadataObject> stored_;
  /// Tables of services other than this node's.
  std::map<ServiceName, std::unique_ptr<TableWriter>> tables_;
  const TableWriter* own_table_ = nullptr;
  std::map<ServiceName, Request> requests_;
  std::map<ServiceName, OwnerView> views_;
  /// Set to false by the destructor, for timers.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
