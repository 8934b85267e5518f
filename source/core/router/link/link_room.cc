#include "source/core/router/link/link_room.h"

#include <algorithm>
#include <cmath>

#include "source/core/router/admission/link_budget.h"

namespace shedlever {

namespace {

/// Half-life of the last stated delay. A node that gets no requests states no new delay, so the old one has to decay
/// for the node to be tried again.
constexpr Duration kDelayHalfLife = std::chrono::seconds(2);
/// Half-life of a measured slowdown. Long, because each gateway sends few large requests and so rarely measures one.
constexpr Duration kSlowdownHalfLife = std::chrono::seconds(30);
/// Weight of a measurement that shows a smaller slowdown than before.
constexpr double kSlowdownSmoothing = 0.25;
constexpr double kMaxSlowdown = 32;
/// Shorter expected times count as this, because acknowledgements are only checked at intervals.
constexpr Duration kMinMeasuredTime = std::chrono::milliseconds(50);
constexpr double kBytesPerKilobyte = 1000.0;
constexpr double kMicrosecondsPerSecond = 1e6;

Duration transmissionTime(double bytes, double bytes_per_second) {
  return Duration(static_cast<Duration::rep>(bytes / bytes_per_second * kMicrosecondsPerSecond));
}

/// @return what is left of the value after an exponential decay.
double decayed(double value, Duration age, Duration half_life) {
  return value * std::exp2(-static_cast<double>(age.count()) / static_cast<double>(half_life.count()));
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
  link.shipments[++last_shipment_] = {bytes, now, due};
  return last_shipment_;
}

void LinkRoom::onArrived(const NodeName& node, ShipmentId shipment, TimePoint now) {
  const auto found = links_.find(node);
  if (found == links_.end() || !found->second.shipments.contains(shipment)) {
    return;
  }
  Link& link = found->second;
  const Shipment& arrived = link.shipments.at(shipment);
  const Duration expected = std::max(arrived.due - arrived.sent, kMinMeasuredTime);
  const double measured = static_cast<double>((now - arrived.sent).count()) / static_cast<double>(expected.count());
  const double before = slowdownAt(link, now);
  const double slowdown = std::clamp(before * measured, 1.0, kMaxSlowdown);
  // A worse link takes effect at once, a better one gradually.
  link.slowdown = std::max(slowdown, before + (slowdown - before) * kSlowdownSmoothing);
  link.slowdown_at = now;
  onEnded(node, shipment);
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

double LinkRoom::slowdownAt(const Link& link, TimePoint now) {
  return 1.0 + decayed(link.slowdown - 1.0, now - link.slowdown_at, kSlowdownHalfLife);
}

double LinkRoom::usableBytesPerSecond(const NodeName& node, TimePoint now) const {
  const Link* link = find(node);
  return link == nullptr ? 0 : link->bytes_per_second / slowdownAt(*link, now);
}

double LinkRoom::bytesPerSecond(const NodeName& node) const {
  const Link* link = find(node);
  return link == nullptr ? 0 : link->bytes_per_second;
}

Duration LinkRoom::waitAt(const Link& link, bool passes_parts, TimePoint now) {
  const Duration stated_delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double, Duration::period>(
      decayed(static_cast<double>(link.stated_delay.count()), now - link.stated_at, kDelayHalfLife)));
  if (passes_parts) {
    return stated_delay;
  }
  const double bandwidth = link.bytes_per_second / slowdownAt(link, now);
  const auto under_way = static_cast<double>(link.bytes_under_way);
  // What was sent after the statement may have arrived already, and what is under way may be part of the stated delay.
  const auto unstated = std::min(static_cast<double>(link.bytes_since_statement), under_way);
  Duration wait =
      std::max(stated_delay + transmissionTime(unstated, bandwidth), transmissionTime(under_way, bandwidth));
  // An overdue request shows that the link carries less than stated; further ones would be at least as late.
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
  return std::max(
      own, waitAt(*link, passes_parts, now) + transmissionTime(size, link->bytes_per_second / slowdownAt(*link, now)));
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
