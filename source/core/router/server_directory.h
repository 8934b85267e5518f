#pragma once

/// @file
/// What one process knows of all servers: where they are, whether they take requests and how loaded they are.
/// Chooses the server for a request that no key binds.

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "shedlever/router_frames.h"
#include "shedlever/time.h"

namespace shedlever {

/// What a node tells all others about itself and the server beside it, through the metadata store.
struct NodeRecord {
  NodeName node;
  Incarnation incarnation;
  /// Where it takes streams from other nodes.
  Endpoint peer;
  ZoneName zone;
  ServiceName service;
  /// Empty while no server runs beside it.
  InstanceId instance;
  std::uint32_t slots = 0;
  /// The server is leaving, or the node is stopping.
  bool draining = false;
  /// Requests under which servers ended, this node's among them.
  std::vector<QuarantinedRequest> quarantined;

  bool operator==(const NodeRecord&) const = default;
  /// @return whether it has a server that takes requests.
  bool serves() const { return !instance.empty() && !draining; }
};

/// How much another zone and a loaded server are avoided. Costs are in units of a request's usual service time.
struct ServerChoiceConfig {
  double cross_zone_cost = 0.15;
  /// For downloads, whose bytes weigh.
  double cross_zone_download_cost = 3.0;
  /// Occupancy above which a server's answers are expected to come later.
  double busy_occupancy = 0.7;
  /// Share of the small requests that go to a random server, to learn how fast it is.
  double exploration = 0.02;
  /// Cost of a server at which every request fails; in proportion for one at which some do.
  double failing_cost = 6.0;
};

class ServerDirectory {
 public:
  ServerDirectory(NodeName self, ZoneName zone, const ServerChoiceConfig& config, RandomSource& random);

  /// A node's record is new or has changed.
  void update(const NodeRecord& record);
  void remove(const NodeName& node);

  /// The servers of these zones get no requests and no keys.
  void setEvacuated(std::set<ZoneName> zones) { evacuated_ = std::move(zones); }

  /// @return the record of the node; null when unknown.
  const NodeRecord* node(const NodeName& node) const;
  std::vector<const NodeRecord*> nodes() const;
  /// @return servers of the service that take requests and can be reached.
  std::vector<const NodeRecord*> availableServers(const ServiceName& service) const;

  /// @return whether all servers of the service that take requests lie in evacuated zones, so that its keys can go
  ///   nowhere.
  bool isFullyEvacuated(const ServiceName& service) const;

  /// Chooses a server for a request without a key.
  /// @param excluded servers that have been tried.
  /// @return null when there is none left.
  const NodeRecord* choose(const ServiceName& service, RouteKind kind, const std::set<InstanceId>& excluded,
                           TimePoint now);

  /// A request was sent to the node.
  void onRequestSent(const NodeName& node);
  /// A request sent to the node has ended.
  void onRequestEnded(const NodeName& node);
  /// @param route names requests of like cost. @param reply as the node's process gave it.
  void onReply(const NodeName& node, const std::string& route, const ForwardReplyFrame& reply, TimePoint now);

  /// The node's process can't be reached; it is left alone until it is heard of again.
  void markUnreachable(const NodeName& node);
  /// The node's process has answered.
  void onReachable(const NodeName& node);
  /// @return whether the last try to reach the node's process failed, or nothing is known of it.
  bool isUnreachable(const NodeName& node) const;
  /// @return whether this process has heard of the node's process, and not lost it since. Records of nodes that are
  /// gone
  ///   for good stay in the store, so that a record alone says little.
  bool isConfirmedReachable(const NodeName& node) const;

  /// The node's process said that it or its server is leaving; holds until its next record.
  void markDraining(const NodeName& node);

  /// @return occupied share of the node's slots, as last told; more than 1 while requests wait.
  double occupancy(const NodeName& node, TimePoint now) const;
  /// @return how long ago the node told its load; the longest duration when it has not.
  Duration loadAge(const NodeName& node, TimePoint now) const;
  /// @return what the node told of its load; null when that is too old, or it has told nothing.
  const ServerLoad* load(const NodeName& node, TimePoint now) const;
  /// @return share of the requests at the node's server that fail, as far as is known; fades when nothing is told.
  double failureRatio(const NodeName& node, TimePoint now) const;

 private:
  struct Entry {
    NodeRecord record;
    ServerLoad load;
    TimePoint load_at{};
    /// Share of requests that failed, as told at `load_at`.
    double failure_ratio = 0;
    std::uint32_t in_flight = 0;
    /// Service time as a multiple of what is usual for the same route.
    double slowness = 1.0;
    bool unreachable = false;
    bool confirmed_reachable = false;
  };

  bool takesRequestsFor(const Entry& entry, const ServiceName& service) const;

  double occupancyOf(const Entry& entry, TimePoint now) const;
  static double failureRatioOf(const Entry& entry, TimePoint now);
  double costOf(const Entry& entry, RouteKind kind, TimePoint now) const;
  double randomFraction();

  NodeName self_;
  ZoneName zone_;
  ServerChoiceConfig config_;
  RandomSource& random_;
  std::map<NodeName, Entry> entries_;
  std::set<ZoneName> evacuated_;
  /// Usual service time of each route, in microseconds.
  std::map<std::string, double> usual_service_us_;
};

}  // namespace shedlever
