#pragma once

/// @file
/// What one process knows of all servers: their addresses, whether they accept requests, and their load. Chooses the
/// server for a request without a key.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "shedlever/router_frames.h"
#include "shedlever/time.h"
#include "shedlever/wire_version.h"
#include "source/core/router/directory/leaving_servers.h"
#include "source/core/router/link/link_room.h"

namespace shedlever {

/// What a node publishes about itself and its server in the metadata store.
struct NodeRecord {
  NodeName node;
  Incarnation incarnation;
  /// Endpoint for streams from other nodes.
  Endpoint peer;
  ZoneName zone;
  ServiceName service;
  /// Empty while the node has no server.
  InstanceId instance;
  std::uint32_t slots = 0;
  /// The server is leaving or the node is stopping.
  bool draining = false;
  /// Instances of the node's server that have given notice that they leave, oldest first.
  std::vector<InstanceId> leaving_instances;
  /// Quarantined requests on which this node's server has crashed.
  std::vector<QuarantinedRequest> quarantined;
  /// Newest version of the encoding of frames that the process speaks; 0 if the record states none.
  WireVersion wire_version = 0;
  /// Whether the process can hold quotas of tenants; false if the record does not say so.
  bool holds_quotas = false;

  bool operator==(const NodeRecord&) const = default;
  /// @return whether the node has a server that accepts requests.
  bool serves() const { return !instance.empty() && !draining; }
};

/// Costs for the choice of a server, in units of a request's usual service time.
struct ServerChoiceConfig {
  double cross_zone_cost = 0.15;
  /// Higher, because downloads transfer much data.
  double cross_zone_download_cost = 3.0;
  /// Occupancy above which a server is expected to answer more slowly.
  double busy_occupancy = 0.7;
  /// Share of small requests that go to a random server, to measure how fast it is.
  double exploration = 0.02;
  /// Cost of a server at which every request fails; scaled by the failure ratio.
  double failing_cost = 6.0;
};

/// What a request needs of the links to its server.
struct RequestDemand {
  /// Size of the request; 0 if it does not matter.
  std::size_t bytes = 0;
  /// Time until the request's deadline.
  Duration time_left = Duration::max();
  /// The request's route.
  std::string route = {};
};

/// Describes why a request could not be served before its deadline: it would arrive at its server too late.
struct LinkShortage {
  NodeName node;
  /// Expected time until the request has arrived at the node.
  Duration arrival{};
  /// Time after which the link is expected to have room for the request.
  Duration wait{};

  bool operator==(const LinkShortage&) const = default;
};

class ServerDirectory {
 public:
  ServerDirectory(NodeName self, ZoneName zone, const ServerChoiceConfig& config, RandomSource& random);

  /// Adds or updates the record of a node.
  void update(const NodeRecord& record);
  void remove(const NodeName& node);

  /// Servers in these zones get no requests and no keys.
  void setEvacuated(std::set<ZoneName> zones) { evacuated_ = std::move(zones); }

  /// @return the record of the node; null if unknown.
  const NodeRecord* node(const NodeName& node) const;
  std::vector<const NodeRecord*> nodes() const;
  /// @return servers of the service that accept requests, are not unreachable and are not in an evacuated zone.
  std::vector<const NodeRecord*> availableServers(const ServiceName& service) const;

  /// @return whether the service has servers that accept requests and all of them are in evacuated zones, so that its
  ///   keys cannot be moved.
  bool isFullyEvacuated(const ServiceName& service) const;

  /// Chooses a server for a request without a key.
  /// @param excluded servers that have been tried.
  /// @return null if there is no other server at which the request could arrive in time.
  const NodeRecord* choose(const ServiceName& service, RouteKind kind, const std::set<InstanceId>& excluded,
                           TimePoint now, const RequestDemand& demand = {});

  /// @return the least shortage among the servers that `choose` may return, if all of them have one; std::nullopt
  ///   otherwise, or if there is no server.
  std::optional<LinkShortage> linkShortage(const ServiceName& service, const std::set<InstanceId>& excluded,
                                           TimePoint now, const RequestDemand& demand) const;

  /// @return the shortage of the link to this node; std::nullopt if the request is expected to be served in time.
  std::optional<LinkShortage> linkShortageAt(const NodeName& node, TimePoint now, const RequestDemand& demand) const;

  /// A request was sent to the node.
  void onRequestSent(const NodeName& node);
  /// A request sent to the node has ended.
  void onRequestEnded(const NodeName& node);
  /// @param route identifies requests of similar cost.
  /// @param reply as sent by the node's process. Its load counts from its time of sending by this machine's clock; from
  ///   `now` if it states none.
  void onReply(const NodeName& node, const std::string& route, const ForwardReplyFrame& reply, TimePoint now);

  /// The node's process cannot be reached. It gets no requests until it answers again or restarts.
  void markUnreachable(const NodeName& node);
  /// The node's process answers late. Until then requests without a key prefer other servers unless those have long
  /// queues.
  void markBehind(const NodeName& node, TimePoint until);
  bool isBehind(const NodeName& node, TimePoint now) const;
  /// The node's process has answered.
  void onReachable(const NodeName& node);
  /// @return whether the last attempt to reach the node's process failed, or the node is unknown.
  bool isUnreachable(const NodeName& node) const;
  /// @return whether the node's process has answered and has not been unreachable since. A record alone is not enough,
  ///   because the records of removed nodes stay in the store.
  bool isConfirmedReachable(const NodeName& node) const;

  /// The node's process reported that it or its server is leaving; valid until the next record.
  void markDraining(const NodeName& node);

  /// A response of the server instance said that it is leaving. From now on the instance is not available, even if its
  /// node's record says that it accepts requests. @return false if this was known already.
  bool markServerLeaving(const InstanceId& instance, TimePoint now) { return leaving_.mark(instance, now); }
  /// @return when the instance first said that it is leaving; std::nullopt if it has not.
  std::optional<TimePoint> leavingSince(const InstanceId& instance) const { return leaving_.since(instance); }

  /// Sets whether the server at the node named a request limit in its last response.
  void setNamesLimit(const NodeName& node, bool names_limit);
  bool namesLimit(const NodeName& node) const;

  /// @return share of the node's slots in use, the higher of the last report and the requests sent from here; above 1
  ///   while requests are queued.
  double occupancy(const NodeName& node, TimePoint now) const;
  /// @return time since the node reported its load; the longest duration if it has not.
  Duration loadAge(const NodeName& node, TimePoint now) const;
  /// @return the last reported load; null if it is too old or was never reported.
  const ServerLoad* load(const NodeName& node, TimePoint now) const;
  /// @return last reported ratio of failed requests at the node's server; decays without new reports.
  double failureRatio(const NodeName& node, TimePoint now) const;

  /// @return what is known of the links to the nodes.
  LinkRoom& links() { return links_; }
  const LinkRoom& links() const { return links_; }

 private:
  struct Entry {
    NodeRecord record;
    ServerLoad load;
    TimePoint load_at{};
    /// Ratio of failed requests, as reported at `load_at`.
    double failure_ratio = 0;
    std::uint32_t in_flight = 0;
    /// Service time relative to the usual time for the same route.
    double slowness = 1.0;
    bool names_limit = false;
    /// See `markBehind`.
    TimePoint behind_until{};
    bool unreachable = false;
    bool confirmed_reachable = false;
  };

  bool takesRequestsFor(const Entry& entry, const ServiceName& service) const;

  double occupancyOf(const Entry& entry, TimePoint now) const;
  static double failureRatioOf(const Entry& entry, TimePoint now);
  /// @return expected time until the request has arrived, in units of the usual service time.
  double linkCostOf(const Entry& entry, TimePoint now, const RequestDemand& demand) const;
  double costOf(const Entry& entry, RouteKind kind, TimePoint now, const RequestDemand& demand) const;
  std::optional<LinkShortage> shortageAt(const Entry& entry, TimePoint now, const RequestDemand& demand) const;
  /// @return usual service time of the route, or of the server if the route has none; zero if neither is known.
  Duration usualServiceTime(const Entry& entry, const std::string& route) const;
  /// @return how many requests of this demand the server could take in a second, by its link and its slots.
  double requestsPerSecond(const Entry& entry, TimePoint now, const RequestDemand& demand) const;
  /// Draws two candidates, with probabilities that follow how many such requests they could take.
  std::vector<const Entry*> drawTwo(std::vector<const Entry*> candidates, TimePoint now, const RequestDemand& demand);
  double randomFraction();

  NodeName self_;
  ZoneName zone_;
  ServerChoiceConfig config_;
  RandomSource& random_;
  std::map<NodeName, Entry> entries_;
  std::set<ZoneName> evacuated_;
  LeavingServers leaving_;
  LinkRoom links_;
  /// Usual service time of each route, in microseconds.
  std::map<std::string, double> usual_service_us_;
};

}  // namespace shedlever
