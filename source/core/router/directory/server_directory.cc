#include "source/core/router/directory/server_directory.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "source/core/router/admission/link_budget.h"

namespace shedlever {

namespace {

/// An older load report is ignored.
constexpr Duration kMaxLoadAge = std::chrono::seconds(2);
constexpr double kPermille = 1000.0;
/// Assumed occupancy of a server without a recent load report.
constexpr double kUnknownOccupancy = 0.4;
/// A server with a higher link cost, in units of the usual service time, is not chosen just to measure its speed.
constexpr double kMaxExploredLinkCost = 0.5;
/// A server that is full or fails every request is still drawn with this part of its probability.
constexpr double kMinFreeShare = 0.05;
/// Minimum assumed service time, so that an unknown one does not make costs infinite.
constexpr Duration kMinServiceTime = std::chrono::milliseconds(10);
/// Weights of the newest value in the moving averages.
constexpr double kSlownessSmoothing = 0.08;
constexpr double kUsualServiceSmoothing = 0.03;
constexpr double kMinSlowness = 0.2;
constexpr double kMaxSlowness = 8.0;
/// Extra cost of a full server, and of each further queue as long as its slots, in units of the usual service time.
constexpr double kFullCost = 1.0;
constexpr double kQueueCost = 4.0;
/// Extra cost of a node that has fallen behind: as much as that of another queue as long as its slots.
constexpr double kBehindCost = kQueueCost;
/// Cost of each millisecond that a large answer waits for the network link of the machine.
constexpr double kLinkCostPerMs = 0.01;
/// Costs vary randomly by up to this share, so that processes do not all choose the same server.
constexpr double kJitter = 0.2;
/// Without requests a server reports nothing: the last reported failure ratio decays so that the server is tried again.
constexpr Duration kFailureRatioHalfLife = std::chrono::seconds(2);

}  // namespace

ServerDirectory::ServerDirectory(NodeName self, ZoneName zone, const ServerChoiceConfig& config, RandomSource& random)
    : self_(std::move(self)), zone_(std::move(zone)), config_(config), random_(random) {}

void ServerDirectory::update(const NodeRecord& record) {
  Entry& entry = entries_[record.node];
  if (entry.record.instance != record.instance) {
    entry.load = {};
    entry.load_at = {};
    entry.failure_ratio = 0;
    entry.slowness = 1.0;
    entry.names_limit = false;
  }
  if (entry.record.incarnation != record.incarnation) {
    entry.unreachable = false;
    links_.forgetStatement(record.node);
  }
  entry.record = record;
}

void ServerDirectory::remove(const NodeName& node) {
  entries_.erase(node);
  links_.forgetStatement(node);
}

const NodeRecord* ServerDirectory::node(const NodeName& node) const {
  const auto found = entries_.find(node);
  return found == entries_.end() ? nullptr : &found->second.record;
}

std::vector<const NodeRecord*> ServerDirectory::nodes() const {
  std::vector<const NodeRecord*> records;
  for (const auto& [name, entry] : entries_) {
    records.push_back(&entry.record);
  }
  return records;
}

bool ServerDirectory::takesRequestsFor(const Entry& entry, const ServiceName& service) const {
  const NodeRecord& record = entry.record;
  return record.service == service && record.serves() && !entry.unreachable && !evacuated_.contains(record.zone) &&
         !leaving_.contains(record.instance);
}

std::vector<const NodeRecord*> ServerDirectory::availableServers(const ServiceName& service) const {
  std::vector<const NodeRecord*> records;
  for (const auto& [name, entry] : entries_) {
    if (takesRequestsFor(entry, service)) {
      records.push_back(&entry.record);
    }
  }
  return records;
}

bool ServerDirectory::isFullyEvacuated(const ServiceName& service) const {
  bool any = false;
  for (const auto& [name, entry] : entries_) {
    if (entry.record.service == service && entry.record.serves()) {
      any = true;
      if (!evacuated_.contains(entry.record.zone)) {
        return false;
      }
    }
  }
  return any;
}

double ServerDirectory::randomFraction() {
  constexpr std::uint64_t kSteps = 1U << 20U;
  return static_cast<double>(random_.below(kSteps)) / static_cast<double>(kSteps);
}

double ServerDirectory::occupancyOf(const Entry& entry, TimePoint now) const {
  const bool reported = now - entry.load_at <= kMaxLoadAge;
  // After a cold start the reported slots may be fewer than the configured ones.
  const double slots = std::max(reported && entry.load.slots > 0 ? entry.load.slots : entry.record.slots, 1U);
  const double own = entry.in_flight / slots;
  if (!reported) {
    return std::max(own, kUnknownOccupancy);
  }
  return std::max(own, (entry.load.running + entry.load.queued) / slots);
}

double ServerDirectory::occupancy(const NodeName& node, TimePoint now) const {
  const auto found = entries_.find(node);
  return found == entries_.end() ? 0 : occupancyOf(found->second, now);
}

Duration ServerDirectory::loadAge(const NodeName& node, TimePoint now) const {
  const auto found = entries_.find(node);
  const bool reported = found != entries_.end() && found->second.load_at != TimePoint{};
  return reported ? now - found->second.load_at : Duration::max();
}

const ServerLoad* ServerDirectory::load(const NodeName& node, TimePoint now) const {
  const auto found = entries_.find(node);
  const bool reported =
      found != entries_.end() && found->second.load_at != TimePoint{} && now - found->second.load_at <= kMaxLoadAge;
  return reported ? &found->second.load : nullptr;
}

double ServerDirectory::failureRatioOf(const Entry& entry, TimePoint now) {
  if (entry.failure_ratio == 0) {
    return 0;
  }
  const auto age = static_cast<double>((now - entry.load_at).count());
  return entry.failure_ratio * std::exp2(-age / static_cast<double>(kFailureRatioHalfLife.count()));
}

double ServerDirectory::failureRatio(const NodeName& node, TimePoint now) const {
  const auto found = entries_.find(node);
  return found == entries_.end() ? 0 : failureRatioOf(found->second, now);
}

Duration ServerDirectory::usualServiceTime(const Entry& entry, const std::string& route) const {
  const auto usual = usual_service_us_.find(route);
  return usual == usual_service_us_.end() ? Duration(std::chrono::milliseconds(entry.load.mean_service_ms))
                                          : Duration(static_cast<Duration::rep>(usual->second));
}

std::optional<LinkShortage> ServerDirectory::shortageAt(const Entry& entry, TimePoint now,
                                                        const RequestDemand& demand) const {
  const NodeName& node = entry.record.node;
  if (node == self_ || demand.time_left == Duration::max()) {
    return std::nullopt;
  }
  const Duration arrival = links_.arrivalTime(node, demand.bytes, now);
  // If the service time exceeds half of the time left, the server is too slow, which is no shortage of its link.
  const Duration service = std::min(usualServiceTime(entry, demand.route), demand.time_left / 2);
  const Duration wait = arrival + service - demand.time_left;
  if (arrival == Duration::zero() || wait <= Duration::zero()) {
    return std::nullopt;
  }
  return LinkShortage{node, arrival, wait};
}

std::optional<LinkShortage> ServerDirectory::linkShortageAt(const NodeName& node, TimePoint now,
                                                            const RequestDemand& demand) const {
  const auto found = entries_.find(node);
  return found == entries_.end() ? std::nullopt : shortageAt(found->second, now, demand);
}

std::optional<LinkShortage> ServerDirectory::linkShortage(const ServiceName& service,
                                                          const std::set<InstanceId>& excluded, TimePoint now,
                                                          const RequestDemand& demand) const {
  std::optional<LinkShortage> least;
  for (const auto& [name, entry] : entries_) {
    if (!takesRequestsFor(entry, service) || excluded.contains(entry.record.instance)) {
      continue;
    }
    const std::optional<LinkShortage> shortage = shortageAt(entry, now, demand);
    if (!shortage) {
      return std::nullopt;
    }
    if (!least || shortage->wait < least->wait) {
      least = shortage;
    }
  }
  return least;
}

double ServerDirectory::requestsPerSecond(const Entry& entry, TimePoint now, const RequestDemand& demand) const {
  const Duration usual = std::max(usualServiceTime(entry, demand.route), kMinServiceTime);
  const double service_seconds = std::chrono::duration<double>(usual).count() * entry.slowness;
  const bool reported = now - entry.load_at <= kMaxLoadAge && entry.load.slots > 0;
  const double slots = std::max(reported ? entry.load.slots : entry.record.slots, 1U);
  const double free = std::max(1.0 - occupancyOf(entry, now), kMinFreeShare);
  const double working = std::max(1.0 - failureRatioOf(entry, now), kMinFreeShare);
  const double by_slots = free * working * slots / service_seconds;
  const double bandwidth = links_.usableBytesPerSecond(entry.record.node, now);
  return bandwidth > 0 ? std::min(by_slots, bandwidth / static_cast<double>(demand.bytes)) : by_slots;
}

std::vector<const ServerDirectory::Entry*> ServerDirectory::drawTwo(std::vector<const Entry*> candidates, TimePoint now,
                                                                    const RequestDemand& demand) {
  constexpr std::size_t kDrawn = 2;
  std::vector<const Entry*> drawn;
  while (drawn.size() < kDrawn && !candidates.empty()) {
    double total = 0;
    for (const Entry* entry : candidates) {
      total += requestsPerSecond(*entry, now, demand);
    }
    double left = total * randomFraction();
    auto chosen = candidates.begin();
    while (std::next(chosen) != candidates.end() && left >= requestsPerSecond(**chosen, now, demand)) {
      left -= requestsPerSecond(**chosen, now, demand);
      ++chosen;
    }
    drawn.push_back(*chosen);
    candidates.erase(chosen);
  }
  return drawn;
}

double ServerDirectory::linkCostOf(const Entry& entry, TimePoint now, const RequestDemand& demand) const {
  if (entry.record.node == self_) {
    return 0;
  }
  const Duration usual = std::max(usualServiceTime(entry, demand.route), kMinServiceTime);
  const Duration arrival = links_.arrivalTime(entry.record.node, demand.bytes, now);
  return std::chrono::duration<double>(arrival) / std::chrono::duration<double>(usual);
}

double ServerDirectory::costOf(const Entry& entry, RouteKind kind, TimePoint now, const RequestDemand& demand) const {
  const double occupancy = occupancyOf(entry, now);
  double cost = entry.slowness;
  if (occupancy > config_.busy_occupancy) {
    const double excess = std::min(occupancy, 1.0) - config_.busy_occupancy;
    cost += entry.slowness * kFullCost * excess / (1.0 - config_.busy_occupancy);
  }
  cost += kQueueCost * std::max(occupancy - 1.0, 0.0);
  cost += config_.failing_cost * failureRatioOf(entry, now);
  cost += now < entry.behind_until ? kBehindCost : 0.0;
  if (kind == RouteKind::Download && now - entry.load_at <= kMaxLoadAge) {
    cost += entry.load.link_busy_ms * kLinkCostPerMs;
  }
  cost += linkCostOf(entry, now, demand);
  if (entry.record.zone != zone_) {
    cost += kind == RouteKind::Download ? config_.cross_zone_download_cost : config_.cross_zone_cost;
  }
  return cost;
}

const NodeRecord* ServerDirectory::choose(const ServiceName& service, RouteKind kind,
                                          const std::set<InstanceId>& excluded, TimePoint now,
                                          const RequestDemand& demand) {
  std::vector<const Entry*> candidates;
  bool limited = false;
  for (const auto& [name, entry] : entries_) {
    if (!takesRequestsFor(entry, service) || excluded.contains(entry.record.instance) ||
        shortageAt(entry, now, demand)) {
      continue;
    }
    candidates.push_back(&entry);
    limited = limited || links_.isLimited(name);
  }
  const bool is_large = demand.bytes >= kMinPacedMessageBytes;
  // What is known of the links is too old for all processes to send their large requests to the best one.
  if (limited && is_large) {
    candidates = drawTwo(std::move(candidates), now, demand);
  }
  const Entry* best = nullptr;
  double best_cost = 0;
  for (const Entry* entry : candidates) {
    const double cost = costOf(*entry, kind, now, demand) * (1.0 + kJitter * randomFraction());
    if (best == nullptr || cost < best_cost) {
      best = entry;
      best_cost = cost;
    }
  }
  if (best == nullptr) {
    return nullptr;
  }
  const bool may_explore = kind != RouteKind::Download && !(limited && is_large);
  if (may_explore && candidates.size() > 1 && randomFraction() < config_.exploration) {
    const Entry* explored = candidates[random_.below(candidates.size())];
    if (occupancyOf(*explored, now) < config_.busy_occupancy && explored->behind_until <= now &&
        linkCostOf(*explored, now, demand) < kMaxExploredLinkCost) {
      return &explored->record;
    }
  }
  return &best->record;
}

void ServerDirectory::onRequestSent(const NodeName& node) {
  const auto found = entries_.find(node);
  if (found != entries_.end()) {
    ++found->second.in_flight;
  }
}

void ServerDirectory::onRequestEnded(const NodeName& node) {
  const auto found = entries_.find(node);
  if (found != entries_.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
  }
}

void ServerDirectory::onReply(const NodeName& node, const std::string& route, const ForwardReplyFrame& reply,
                              TimePoint now) {
  const auto found = entries_.find(node);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  // Replies generated locally for a broken stream contain no load and say nothing about the node.
  if (reply.load.slots > 0) {
    entry.unreachable = false;
    entry.confirmed_reachable = true;
  }
  const TimePoint sent_at = reply.sent_at_us == 0 ? now : TimePoint(Duration(reply.sent_at_us));
  // Replies on two streams, and large ones, may arrive in another order than they were sent.
  if (reply.load.slots > 0 && sent_at >= entry.load_at) {
    entry.load = reply.load;
    entry.failure_ratio = reply.load.failed_permille / kPermille;
    entry.load_at = sent_at;
    if (node != self_) {
      links_.onStatement(node, reply.load, sent_at);
    }
  }
  if (reply.service_us <= 0 || reply.outcome != ForwardOutcome::Answered) {
    return;
  }
  const auto service_us = static_cast<double>(reply.service_us);
  double& usual = usual_service_us_.try_emplace(route, service_us).first->second;
  const double ratio = std::clamp(service_us / std::max(usual, 1.0), kMinSlowness, kMaxSlowness);
  usual += (service_us - usual) * kUsualServiceSmoothing;
  entry.slowness += (ratio - entry.slowness) * kSlownessSmoothing;
}

void ServerDirectory::markUnreachable(const NodeName& node) {
  const auto found = entries_.find(node);
  if (found != entries_.end()) {
    found->second.load_at = {};
    found->second.unreachable = true;
    found->second.confirmed_reachable = false;
  }
}

void ServerDirectory::markBehind(const NodeName& node, TimePoint until) {
  const auto found = entries_.find(node);
  if (found != entries_.end()) {
    found->second.behind_until = until;
  }
}

bool ServerDirectory::isBehind(const NodeName& node, TimePoint now) const {
  const auto found = entries_.find(node);
  return found != entries_.end() && now < found->second.behind_until;
}

void ServerDirectory::onReachable(const NodeName& node) {
  const auto found = entries_.find(node);
  if (found != entries_.end()) {
    found->second.unreachable = false;
    found->second.confirmed_reachable = true;
  }
}

bool ServerDirectory::isUnreachable(const NodeName& node) const {
  const auto found = entries_.find(node);
  return found == entries_.end() || found->second.unreachable;
}

bool ServerDirectory::isConfirmedReachable(const NodeName& node) const {
  const auto found = entries_.find(node);
  return found != entries_.end() && found->second.confirmed_reachable;
}

void ServerDirectory::setNamesLimit(const NodeName& node, bool names_limit) {
  const auto found = entries_.find(node);
  if (found != entries_.end()) {
    found->second.names_limit = names_limit;
  }
}

bool ServerDirectory::namesLimit(const NodeName& node) const {
  const auto found = entries_.find(node);
  return found != entries_.end() && found->second.names_limit;
}

void ServerDirectory::markDraining(const NodeName& node) {
  const auto found = entries_.find(node);
  if (found != entries_.end()) {
    found->second.record.draining = true;
  }
}

}  // namespace shedlever
