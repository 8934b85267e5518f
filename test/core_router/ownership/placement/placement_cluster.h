#pragma once

/// @file
/// Owners of a service that balance their keys in virtual time, without a network: each has the production balancer and
/// planner, moves take a fixed time, and all know the same table and loads.

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "source/core/router/ownership/key_balancer.h"
#include "source/core/router/ownership/placement/service_planner.h"
#include "source/lab/sim/virtual_store.h"
#include "test/support/serving_node.h"

namespace shedlever::test {

class PlacementCluster {
 public:
  static constexpr std::uint32_t kSlots = 6;
  static constexpr double kServiceSeconds = 0.16;

  /// The servers are 0.6 to 1.6 times as fast as usual and divide the keys evenly.
  /// @param empty_servers further servers without keys.
  PlacementCluster(std::size_t servers, std::size_t empty_servers, const OwnershipConfig& config) : config_(config) {
    std::vector<OwnerLocation> owners;
    for (std::size_t i = 0; i < servers + empty_servers; ++i) {
      addNode(i);
      if (i < servers) {
        owners.push_back(nodes_.back()->location);
      }
    }
    table_ = OwnerTable::divideEvenly(owners, 2);
  }

  /// Sets the request rates of the keys: the n-th most requested one gets a share of 1 / n^exponent.
  void setSkewedKeys(double exponent, double requests_per_second) {
    std::vector<double> weights(kKeyCount);
    for (std::size_t i = 0; i < weights.size(); ++i) {
      weights[i] = 1 / std::pow(static_cast<double>(i + 1), exponent);
    }
    std::shuffle(weights.begin(), weights.end(), random_);
    setRates(std::move(weights), requests_per_second);
  }

  /// Gives one key a share of all requests; the others keep their proportions.
  void setHotKey(Key key, double share) {
    const double all = rate();
    std::vector<double> weights = rates_;
    weights[key] = 0;
    const double others = all - rates_[key];
    weights[key] = others * share / (1 - share);
    setRates(std::move(weights), all);
  }

  void scaleRates(double factor) { setRates(rates_, rate() * factor); }
  void setSpeed(std::size_t node, double speed) { nodes_[node]->speed = speed; }
  /// The node's process neither plans nor reports its load nor gets plans any more; its server goes on.
  void stopProcess(std::size_t node) {
    nodes_[node]->running = false;
    directory_.markUnreachable(nodes_[node]->location.node);
  }

  /// From now on plans and questions for loads between nodes are lost.
  void losePlans() { loses_plans_ = true; }

  /// @return requests per second that all servers can run.
  double capacity() const {
    double sum = 0;
    for (const auto& node : nodes_) {
      sum += kSlots * node->speed / kServiceSeconds;
    }
    return sum;
  }

  void run(Duration span) {
    const TimePoint end = now_ + span;
    while (now_ < end) {
      now_ += kTick;
      sendRequests();
      endMoves();
      reportLoads();
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i]->running) {
          tick(*nodes_[i]);
        }
      }
    }
  }

  /// @return slots that all requests for the server's keys occupy.
  double demand(std::size_t node) const {
    double rate = 0;
    for (const OwnedRange& range : table_.ownedBy(nodes_[node]->location.instance)) {
      for (std::uint32_t key = range.keys.first; key <= range.keys.last; ++key) {
        rate += rates_[key];
      }
    }
    return rate * serviceSeconds(*nodes_[node]);
  }

  double busiestToMean() const {
    double highest = 0;
    double sum = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      highest = std::max(highest, demand(i));
      sum += demand(i);
    }
    return highest * static_cast<double>(nodes_.size()) / sum;
  }

  /// @return slots that the requests for one key occupy at its server.
  double demandOfKey(Key key) const { return rates_[key] * serviceSeconds(*nodes_[ownerOf(key)]); }

  /// @return share of all requests that exceed the slots of their servers.
  double refusedShare() const {
    double refused = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      refused += std::max(demand(i) - kSlots, 0.0) / serviceSeconds(*nodes_[i]);
    }
    return refused / rate();
  }

  /// @return the number of the node that owns the key.
  std::size_t ownerOf(Key key) const { return by_name_.at(table_.find(key)->node)->index; }

  /// @return moves begun since the last call.
  std::size_t takeMoves() { return std::exchange(moves_, 0); }
  /// @return plans with flows that the node made.
  std::size_t plansBy(std::size_t node) const { return nodes_[node]->plans; }
  std::size_t tableRanges() const { return table_.ranges().size(); }

 private:
  static constexpr std::size_t kKeyCount = 65536;
  static constexpr Duration kTick = std::chrono::milliseconds(100);
  static constexpr Duration kMoveTime = std::chrono::milliseconds(300);
  static constexpr Duration kReportInterval = std::chrono::milliseconds(500);

  struct Node {
    std::size_t index = 0;
    OwnerLocation location;
    double speed = 1;
    bool running = true;
    std::size_t plans = 0;
    KeyLoad key_load;
    std::unique_ptr<OwnerCandidates> candidates;
    std::unique_ptr<KeyBalancer> balancer;
    std::unique_ptr<ServicePlanner> planner;
    /// Moves under way, and when they end.
    KeyTransfer moves;
    TimePoint moves_end{};
  };

  static double serviceSeconds(const Node& node) { return kServiceSeconds / node.speed; }
  double rate() const { return std::accumulate(rates_.begin(), rates_.end(), 0.0); }

  void addNode(std::size_t index) {
    auto node = std::make_unique<Node>();
    const std::string digits = std::to_string(index);
    const NodeName name("n" + std::string(4 - digits.size(), '0') + digits);
    node->index = index;
    node->location = {InstanceId("i-" + name.value), name};
    node->speed = 0.6 + static_cast<double>(index % 11) / 10;
    NodeRecord record = servingNode(name.value, service_, kSlots);
    record.wire_version = kNewestWireVersion;
    directory_.update(record);
    directory_.onReachable(name);
    node->candidates = std::make_unique<OwnerCandidates>(name, service_, config_, directory_, table_);
    node->balancer = std::make_unique<KeyBalancer>(config_, directory_, *node->candidates, table_, node->key_load);
    ServicePlanner::Ports ports;
    ports.send = [this, name](const NodeName& to, const PlacementPlanFrame& plan) { deliver(name, to, plan); };
    ports.on_event = [raw = node.get()](const PlacementEvent&) { ++raw->plans; };
    node->planner = std::make_unique<ServicePlanner>(name, service_, config_, directory_, table_, std::move(ports));
    by_name_[name] = node.get();
    nodes_.push_back(std::move(node));
  }

  void setRates(std::vector<double> weights, double requests_per_second) {
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    for (double& weight : weights) {
      weight *= requests_per_second / sum;
    }
    rates_ = std::move(weights);
    keys_ = std::discrete_distribution<std::uint32_t>(rates_.begin(), rates_.end());
  }

  void sendRequests() {
    std::poisson_distribution<int> count(rate() * std::chrono::duration<double>(kTick).count());
    for (int i = count(random_); i > 0; --i) {
      const Key key = static_cast<Key>(keys_(random_));
      nodes_[ownerOf(key)]->key_load.onRequest(key, now_);
    }
  }

  OfferedLoad offeredLoad(const Node& node) const {
    const double rate = node.key_load.requestRate(table_.ownedBy(node.location.instance), now_);
    return {rate * serviceSeconds(node), kSlots, serviceSeconds(node)};
  }

  void report(const Node& node) {
    const OfferedLoad load = offeredLoad(node);
    ForwardReplyFrame reply;
    reply.load.slots = kSlots;
    reply.load.demand_hundredths = static_cast<std::uint32_t>(load.demand * 100);
    reply.load.mean_service_ms = static_cast<std::uint32_t>(load.service_seconds * 1000);
    directory_.onReply(node.location.node, "", reply, now_);
  }

  void reportLoads() {
    if (now_ >= next_report_) {
      next_report_ = now_ + kReportInterval;
      for (const auto& node : nodes_) {
        if (node->running) {
          report(*node);
        }
      }
    }
  }

  void deliver(const NodeName& from, const NodeName& to, const PlacementPlanFrame& plan) {
    Node& node = *by_name_.at(to);
    if (node.running && !loses_plans_) {
      report(node);
      node.balancer->plans().onPlan(from, plan, node.location.instance, node.planner->silenceLimit(), now_);
    }
  }

  void tick(Node& node) {
    node.balancer->setOfferedLoad(offeredLoad(node));
    node.planner->setOwnLoad(offeredLoad(node));
    node.planner->tick(now_);
    if (!node.moves.pieces.empty()) {
      return;
    }
    node.balancer->setServicePlan(node.planner->isActive() ? std::optional(node.planner->silenceLimit())
                                                           : std::nullopt);
    const BalanceStep step = node.balancer->nextStep(node.location.instance, now_);
    if (step.merge_ranges) {
      table_.mergeAdjacentRanges(node.location.instance);
    }
    if (step.moves.pieces.empty()) {
      return;
    }
    node.moves = step.moves;
    node.moves_end = now_ + kMoveTime;
    moves_ += step.moves.pieces.size();
    for (const KeyRange& keys : step.moves.pieces) {
      table_.beginRelease(keys, node.location.instance);
    }
  }

  void endMoves() {
    for (const auto& node : nodes_) {
      if (node->moves.pieces.empty() || now_ < node->moves_end) {
        continue;
      }
      const KeyTransfer moves = std::exchange(node->moves, {});
      for (std::size_t i = 0; i < moves.pieces.size(); ++i) {
        table_.assign(moves.pieces[i], moves.to[i % moves.to.size()], "", node->key_load.rateOf(moves.pieces[i], now_));
      }
      node->balancer->onMovesDone(now_);
      for (const auto& other : nodes_) {
        other->key_load.recordGains(table_.ownedBy(other->location.instance), now_);
      }
    }
  }

  const ServiceName service_{"maps"};
  OwnershipConfig config_;
  std::mt19937 random_{20261202};
  sim::SeededRandom directory_random_{7};
  ServerDirectory directory_{NodeName("none"), ZoneName("zone"), {}, directory_random_};
  OwnerTable table_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<NodeName, Node*> by_name_;
  /// Requests per second for each key.
  std::vector<double> rates_;
  std::discrete_distribution<std::uint32_t> keys_;
  TimePoint now_{std::chrono::seconds(1000)};
  TimePoint next_report_{};
  std::size_t moves_ = 0;
  bool loses_plans_ = false;
};

}  // namespace shedlever::test
