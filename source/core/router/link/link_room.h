#pragma once

/// @file
/// What this process knows of the links to other nodes, and the expected time until a request of some size has arrived
/// at a node.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

#include "shedlever/identifiers.h"
#include "shedlever/router_frames.h"
#include "shedlever/time.h"

namespace shedlever {

/// Identifies a request that is under way to a node. 0 is none.
using ShipmentId = std::uint64_t;

/// Predicts arrival times from the bandwidth and delay that each node states and from the requests that this process
/// has sent to it.
class LinkRoom {
 public:
  /// @return how long the machine's own link takes for its backlog and `bytes` more; zero if it is no bottleneck.
  using OwnLink = std::function<Duration(double bytes)>;

  void setOwnLink(OwnLink own_link) { own_link_ = std::move(own_link); }

  /// A reply of the node's process has stated its load.
  void onStatement(const NodeName& node, const ServerLoad& load, TimePoint now);

  /// The node's process has ended: its statements don't hold any more.
  void forgetStatement(const NodeName& node);

  /// A request was passed on to the node.
  ShipmentId onSent(const NodeName& node, std::size_t bytes, TimePoint now);

  /// The node's kernel has acknowledged the request. Unknown ids are ignored.
  void onArrived(const NodeName& node, ShipmentId shipment, TimePoint now);

  /// The request was answered, or will not be sent completely; when it arrived is not known. Unknown ids are ignored.
  void onEnded(const NodeName& node, ShipmentId shipment);

  /// @return whether the node has stated the bandwidth of its link.
  bool isLimited(const NodeName& node) const { return bytesPerSecond(node) > 0; }

  /// @return stated bandwidth of the node's link, in bytes per second; 0 if it has stated none.
  double bytesPerSecond(const NodeName& node) const;

  /// @return the stated bandwidth reduced by the recently measured slowdown, in bytes per second; 0 if the node has
  ///   stated none.
  double usableBytesPerSecond(const NodeName& node, TimePoint now) const;

  /// @return expected time until a request of this size has arrived at the node; zero if no link is known to be
  /// limited.
  Duration arrivalTime(const NodeName& node, std::size_t bytes, TimePoint now) const;

  /// @return bytes that were sent to the node, or to all nodes, and have not ended.
  std::size_t bytesUnderWay(const NodeName& node) const;
  std::size_t bytesUnderWay() const;
  /// @return number of requests that were sent to the node and have not ended.
  std::size_t requestsUnderWay(const NodeName& node) const;

 private:
  struct Shipment {
    std::size_t bytes = 0;
    TimePoint sent{};
    /// When the request should have arrived.
    TimePoint due{};
  };

  struct Link {
    double bytes_per_second = 0;
    Duration stated_delay{};
    TimePoint stated_at{};
    /// Bytes sent since the last statement.
    std::size_t bytes_since_statement = 0;
    /// Ratio of the time that requests took to arrive to the expected time, at least 1; as measured at `slowdown_at`.
    double slowdown = 1;
    TimePoint slowdown_at{};
    std::size_t bytes_under_way = 0;
    /// In the order in which they were sent.
    std::map<ShipmentId, Shipment> shipments;
  };

  const Link* find(const NodeName& node) const;
  static double slowdownAt(const Link& link, TimePoint now);
  /// @param passes_parts whether the request is small enough to be sent between the parts of large ones.
  /// @return how long a request waits for the node's link.
  static Duration waitAt(const Link& link, bool passes_parts, TimePoint now);

  OwnLink own_link_ = [](double) { return Duration::zero(); };
  std::map<NodeName, Link> links_;
  ShipmentId last_shipment_ = 0;
};

}  // namespace shedlever
