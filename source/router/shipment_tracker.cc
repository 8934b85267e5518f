#include "source/router/shipment_tracker.h"

#include <iterator>
#include <utility>

#include "source/core/router/admission/link_budget.h"

namespace shedlever {

namespace {

/// Interval at which the kernel is asked for acknowledgements, which it does not report by itself.
constexpr Duration kCheckInterval = std::chrono::milliseconds(20);

}  // namespace

ShipmentTracker::ShipmentTracker(EventLoop& loop, const Clock& clock, LinkRoom& links, AcknowledgedBytes acknowledged)
    : loop_(loop), clock_(clock), links_(links), acknowledged_(std::move(acknowledged)) {}

ShipmentTracker::~ShipmentTracker() { loop_.cancel(timer_); }

void ShipmentTracker::start(ExchangeId exchange, const NodeName& node, std::size_t bytes) {
  if (bytes < kMinPacedMessageBytes || !links_.isLimited(node)) {
    return;
  }
  entries_[exchange] = {node, links_.onSent(node, bytes, clock_.now())};
  scheduleCheck();
}

void ShipmentTracker::onWritten(ExchangeId exchange, PeerStreamId stream, std::uint64_t end) {
  const auto found = entries_.find(exchange);
  if (found != entries_.end()) {
    found->second.stream = stream;
    found->second.end = end;
  }
}

void ShipmentTracker::end(ExchangeId exchange) {
  const auto ended = entries_.extract(exchange);
  if (!ended.empty()) {
    links_.onEnded(ended.mapped().node, ended.mapped().shipment);
  }
}

void ShipmentTracker::scheduleCheck() {
  if (timer_ != 0 || entries_.empty()) {
    return;
  }
  timer_ = loop_.runAfter(kCheckInterval, [this] {
    timer_ = 0;
    endAcknowledged();
    scheduleCheck();
  });
}

void ShipmentTracker::endAcknowledged() {
  std::unordered_map<PeerStreamId, std::optional<std::uint64_t>> acknowledged;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const Entry& shipment = entry->second;
    if (shipment.end == 0) {
      ++entry;
      continue;
    }
    const auto [bytes, first] = acknowledged.try_emplace(shipment.stream);
    if (first) {
      bytes->second = acknowledged_(shipment.stream);
    }
    const bool arrived = bytes->second && *bytes->second >= shipment.end;
    if (arrived) {
      links_.onArrived(shipment.node, shipment.shipment, clock_.now());
    }
    entry = arrived ? entries_.erase(entry) : std::next(entry);
  }
}

}  // namespace shedlever
