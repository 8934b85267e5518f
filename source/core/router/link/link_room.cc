#include "source/core/router/link/link_room.h"

#include <algorithm>

#include "source/core/router/admission/link_budget.h"

namespace shedlever {

namespace {

/// An older statement of the delay is ignored.
constexpr Duration kMaxDelayAge = std::chrono::seconds(2);
constexpr double kBytesPerKilobyte = 1000.0;
constexpr double kMicrosecondsPerSecond = 1e6;

Duration transmissionTime(double bytes, double bytes_per_second) {
  return Duration(static_cast<Duration::rep>(bytes / bytes_per_second * kMicrosecondsPerSecond));
}

}  // namespace

const LinkRoom::Link* LinkRoom::find(const NodeName& node) const {
  const auto found = links_.find(node);
  return found == links_.end() ? nullptr : &found->second;
}

void LinkRoom::onStatement(const NodeName& node, const ServerLoad& load, TimePoint now) {
  Link& link = links_[node];
  link.bytes_per_second = load.link_kbytes_per_s * kBytesPerKilobyte;
  link.stated_delay = std::chrono::milliseconds(load.arrival_delay_ms);
  link.stated_at = now;
  link.bytes_since_statement = 0;
}

void LinkRoom::forgetStatement(const NodeName& node) {
  const auto found = links_.find(node);
  if (found != links_.end()) {
    found->second.bytes_per_second = 0;
    found->second.stated_delay = {};
    found->second.stated_at = {};
  }
}

ShipmentId LinkRoom::onSent(const NodeName& node, std::size_t bytes, TimePoint now) {
  const TimePoint due = now + arrivalTime(node, bytes, now);
  Link& link = links_[node];
  link.bytes_since_statement += bytes;
  link.bytes_under_way += bytes;
  link.shipments[++last_shipment_] = {bytes, due};
  return last_shipment_;
}

void LinkRoom::onEnded(const NodeName& node, ShipmentId shipment) {
  const auto link = links_.find(node);
  if (link == links_.end()) {
    return;
  }
  const auto ended = link->second.shipments.extract(shipment);
  if (!ended.empty()) {
    link->second.bytes_under_way -= ended.mapped().bytes;
  }
}

double LinkRoom::bytesPerSecond(const NodeName& node) const {
  const Link* link = find(node);
  return link == nullptr ? 0 : link->bytes_per_second;
}

Duration LinkRoom::waitAt(const Link& link, bool passes_parts, TimePoint now) {
  const bool stated = link.stated_at != TimePoint{} && now - link.stated_at <= kMaxDelayAge;
  const Duration stated_delay = stated ? link.stated_delay : Duration::zero();
  if (passes_parts) {
    return stated_delay;
  }
  const auto under_way = static_cast<double>(link.bytes_under_way);
  // What was sent after the statement may have arrived already, and what is under way may be part of the stated delay.
  const auto unstated = std::min(static_cast<double>(link.bytes_since_statement), under_way);
  Duration wait = std::max(stated_delay + transmissionTime(unstated, link.bytes_per_second),
                           transmissionTime(under_way, link.bytes_per_second));
  // A link that carries less than stated shows by requests that are late; more requests would be at least as late.
  if (!link.shipments.empty()) {
    wait = std::max(wait, now - link.shipments.begin()->second.due);
  }
  return wait;
}

Duration LinkRoom::arrivalTime(const NodeName& node, std::size_t bytes, TimePoint now) const {
  const bool passes_parts = bytes < kMinPacedMessageBytes;
  const auto size = static_cast<double>(bytes);
  const Duration own = passes_parts ? Duration::zero() : own_link_(size);
  const Link* link = find(node);
  if (link == nullptr || link->bytes_per_second <= 0) {
    return own;
  }
  // Both links carry the request at the same time, so that the slower one decides.
  return std::max(own, waitAt(*link, passes_parts, now) + transmissionTime(size, link->bytes_per_second));
}

std::size_t LinkRoom::bytesUnderWay(const NodeName& node) const {
  const Link* link = find(node);
  return link == nullptr ? 0 : link->bytes_under_way;
}

std::size_t LinkRoom::bytesUnderWay() const {
  std::size_t bytes = 0;
  for (const auto& [node, link] : links_) {
    bytes += link.bytes_under_way;
  }
  return bytes;
}

std::size_t LinkRoom::requestsUnderWay(const NodeName& node) const {
  const Link* link = find(node);
  return link == nullptr ? 0 : link->shipments.size();
}

}  // namespace shedlever
