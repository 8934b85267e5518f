#pragma once

/// @file
/// Reports large requests to `LinkRoom` from when they are sent until the kernel of their node has acknowledged them.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "source/core/router/link/link_room.h"
#include "source/net/event_loop.h"
#include "source/router/peer_stream.h"

namespace shedlever {

/// Checks at intervals how many bytes of each stream are acknowledged.
class ShipmentTracker {
 public:
  /// @return how many bytes of the stream are acknowledged; std::nullopt if it is not open.
  using AcknowledgedBytes = std::function<std::optional<std::uint64_t>(PeerStreamId)>;

  /// @param loop, clock, links must outlive the tracker.
  ShipmentTracker(EventLoop& loop, const Clock& clock, LinkRoom& links, AcknowledgedBytes acknowledged);
  ~ShipmentTracker();
  ShipmentTracker(const ShipmentTracker&) = delete;
  ShipmentTracker& operator=(const ShipmentTracker&) = delete;

  /// A request is passed on to the node. Small requests, and those to nodes with no stated bandwidth, are not tracked.
  void start(ExchangeId exchange, const NodeName& node, std::size_t bytes);
  /// The request was written to the stream as far as `end`, counted from the start of the stream.
  void onWritten(ExchangeId exchange, PeerStreamId stream, std::uint64_t end);
  /// The request was answered or given up. Unknown exchanges are ignored.
  void end(ExchangeId exchange);

 private:
  struct Entry {
    NodeName node;
    ShipmentId shipment = 0;
    PeerStreamId stream = 0;
    /// 0 until the request was written.
    std::uint64_t end = 0;
  };

  void endAcknowledged();
  void scheduleCheck();

  EventLoop& loop_;
  const Clock& clock_;
  LinkRoom& links_;
  AcknowledgedBytes acknowledged_;
  std::unordered_map<ExchangeId, Entry> entries_;
  TimerId timer_ = 0;
};

}  // namespace shedlever
