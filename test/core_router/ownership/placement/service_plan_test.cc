/// @file
/// One plan for all servers of a service gives the excess of the busiest to those with room, and moves nothing for
/// waves and noise.

#include "source/core/router/ownership/placement/service_plan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace shedlever {
namespace {

constexpr double kSlots = 6;
constexpr double kServiceSeconds = 0.16;
constexpr double kAveragedSeconds = 3;
constexpr MoveCost kCost{0.3, 0};
/// Enough plans for any service to come to rest.
constexpr int kPlans = 20;

PlanLimits limitsFor(std::size_t servers) { return {0.6, 0.15, 8, std::max<std::size_t>(16, servers / 2)}; }

/// Servers whose requests per second are moved as planned.
class Service {
 public:
  void add(double rate, double speed, double slots = kSlots) { servers_.push_back({rate, speed, slots}); }
  void setRate(std::size_t server, double rate) { servers_[server].rate = rate; }
  void setSpeed(std::size_t server, double speed) { servers_[server].speed = speed; }
  void scaleRates(double factor) {
    for (Server& server : servers_) {
      server.rate *= factor;
    }
  }

  std::size_t size() const { return servers_.size(); }
  double demand(std::size_t server) const { return servers_[server].rate * kServiceSeconds / servers_[server].speed; }

  std::vector<ServerOffer> offers() const {
    std::vector<ServerOffer> offers;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      const bool was_timed = servers_[i].rate > 0;
      const double seconds = was_timed ? kServiceSeconds / servers_[i].speed : 0;
      offers.push_back({{demand(i), servers_[i].slots, seconds}, kAveragedSeconds, true, true});
    }
    return offers;
  }

  ServicePlan plan(const MoveCost& cost = kCost) const { return planService(offers(), limitsFor(size()), cost); }

  /// Plans once and moves the load. @return the number of flows.
  std::size_t planAndMove() {
    const ServicePlan planned = plan();
    for (const LoadFlow& flow : planned.flows) {
      const double rate = flow.slots * servers_[flow.from].speed / kServiceSeconds;
      servers_[flow.from].rate -= rate;
      servers_[flow.to].rate += rate;
    }
    return planned.flows.size();
  }

  /// Plans until nothing moves. @return the number of flows of each plan.
  std::vector<std::size_t> planUntilSettled() {
    std::vector<std::size_t> counts(kPlans);
    std::generate(counts.begin(), counts.end(), [this] { return planAndMove(); });
    return counts;
  }

  double busiestToMean() const {
    double highest = 0;
    double sum = 0;
    for (std::size_t i = 0; i < size(); ++i) {
      highest = std::max(highest, demand(i) / servers_[i].slots);
      sum += demand(i) / servers_[i].slots;
    }
    return highest * static_cast<double>(size()) / sum;
  }

  /// @return share of all requests that exceed the slots of their servers.
  double refusedShare() const {
    double refused = 0;
    double all = 0;
    for (std::size_t i = 0; i < size(); ++i) {
      refused += std::max(demand(i) - servers_[i].slots, 0.0) * servers_[i].speed;
      all += demand(i) * servers_[i].speed;
    }
    return refused / all;
  }

 private:
  struct Server {
    /// Requests per second.
    double rate = 0;
    double speed = 1;
    double slots = kSlots;
  };

  std::vector<Server> servers_;
};

/// Servers of 0.6 to 1.6 times the usual speed, among which the requests are divided unevenly: rates are log-normal.
Service skewedService(std::size_t servers, double utilization) {
  std::mt19937 random(20261202);
  std::lognormal_distribution<double> rates(0, 0.8);
  Service service;
  for (std::size_t i = 0; i < servers; ++i) {
    const double speed = 0.6 + static_cast<double>(i % 11) / 10;
    service.add(rates(random), speed);
  }
  double demand = 0;
  for (std::size_t i = 0; i < servers; ++i) {
    demand += service.demand(i);
  }
  service.scaleRates(utilization * kSlots * static_cast<double>(servers) / demand);
  return service;
}

// Guards against owners that refuse requests all day among many idle servers, because each server's share of the excess
// is too small to be moved.
TEST(ServicePlanTest, ServersOfDifferentSpeedsWithSkewedKeysServeAllRequestsAtTwoFifthsOfAllSlots) {
  for (const std::size_t servers : {5U, 65U, 500U}) {
    Service service = skewedService(servers, 0.4);
    const double refused_before = service.refusedShare();
    const double imbalance_before = service.busiestToMean();
    const std::vector<std::size_t> flows = service.planUntilSettled();
    const std::size_t moves = std::accumulate(flows.begin(), flows.end(), std::size_t{0});
    SCOPED_TRACE(::testing::Message() << servers << " servers: busiest to mean " << imbalance_before << " before, "
                                      << service.busiestToMean() << " after; refused share " << refused_before
                                      << " before, " << service.refusedShare() << " after; " << moves << " moves");
    EXPECT_EQ(service.refusedShare(), 0);
    EXPECT_LT(service.busiestToMean(), 1.8);
    EXPECT_LE(moves, servers / 2);
    EXPECT_EQ(flows.back(), 0U);
    EXPECT_LE(flows.front(), limitsFor(servers).max_flows);
  }
}

// Guards against moves while all owners become busier or calmer together.
TEST(ServicePlanTest, WaveThatLiftsAllServersAlikeMovesNothing) {
  for (const double utilization : {0.3, 0.6, 0.9, 1.2, 2.0}) {
    Service service;
    for (std::size_t i = 0; i < 65; ++i) {
      const double speed = 0.6 + static_cast<double>(i % 11) / 10;
      service.add(utilization * kSlots * speed / kServiceSeconds, speed);
    }
    EXPECT_TRUE(service.plan().flows.empty()) << utilization;
  }
}

// Guards against moves for differences that come from counting few requests.
TEST(ServicePlanTest, DifferencesThatCountingFewRequestsExplainsMoveNothing) {
  std::mt19937 random(20261202);
  std::size_t flows = 0;
  constexpr int kTrials = 50;
  for (int trial = 0; trial < kTrials; ++trial) {
    Service service;
    const double rate = 0.7 * kSlots / kServiceSeconds;
    std::poisson_distribution<int> counts(rate * kAveragedSeconds);
    for (std::size_t i = 0; i < 65; ++i) {
      service.add(counts(random) / kAveragedSeconds, 1);
    }
    flows += service.plan().flows.size();
  }
  // Of 3,250 loads, 5 are three standard deviations above the mean.
  EXPECT_LE(flows, 12U);
}

// Guards against one hot server giving to many others a little each.
TEST(ServicePlanTest, OneHotServerGivesFewLargeFlowsToTheLargestRooms) {
  Service service;
  service.add(2.5 * kSlots / kServiceSeconds, 1);
  for (std::size_t i = 1; i < 65; ++i) {
    service.add((i % 8 == 0 ? 0.1 : 0.45) * kSlots / kServiceSeconds, 1);
  }
  const ServicePlan plan = service.plan();
  ASSERT_FALSE(plan.flows.empty());
  EXPECT_LE(plan.flows.size(), 8U);
  for (const LoadFlow& flow : plan.flows) {
    EXPECT_EQ(flow.from, 0U);
    EXPECT_EQ(flow.to % 8, 0U);
  }
}

// Guards against targets that are overloaded by what they are given.
TEST(ServicePlanTest, NoServerIsBroughtAboveThePlannedMean) {
  Service service = skewedService(65, 0.8);
  const ServicePlan plan = service.plan();
  ASSERT_FALSE(plan.flows.empty());
  const std::vector<ServerOffer> offers = service.offers();
  std::vector<double> demand(offers.size());
  std::transform(offers.begin(), offers.end(), demand.begin(),
                 [](const ServerOffer& offer) { return offer.load.demand; });
  for (const LoadFlow& flow : plan.flows) {
    demand[flow.from] -= flow.slots;
    demand[flow.to] += flow.slots * offers[flow.to].load.service_seconds / offers[flow.from].load.service_seconds;
  }
  constexpr double kRounding = 1e-6;
  for (const LoadFlow& flow : plan.flows) {
    EXPECT_LE(demand[flow.to], plan.mean_utilization * kSlots + kRounding);
    EXPECT_GE(demand[flow.from], plan.mean_utilization * kSlots - kRounding);
  }
}

// Guards against a slow server keeping as many requests as a fast one.
TEST(ServicePlanTest, ServersThatTurnThreeTimesAsSlowGiveTheirExcessAway) {
  Service service;
  for (std::size_t i = 0; i < 65; ++i) {
    service.add(0.45 * kSlots / kServiceSeconds, 1);
  }
  for (const std::size_t slow : {3U, 20U, 41U, 64U}) {
    service.setSpeed(slow, 1.0 / 3);
  }
  EXPECT_GT(service.refusedShare(), 0);
  service.planUntilSettled();
  EXPECT_EQ(service.refusedShare(), 0);
  for (const std::size_t slow : {3U, 20U, 41U, 64U}) {
    // A few requests a second in three seconds don't show smaller differences.
    EXPECT_LT(service.demand(slow), 0.9 * kSlots);
  }
}

// Guards against added servers that stay empty for minutes.
TEST(ServicePlanTest, EmptyServersTakeTheirShareInOnePlan) {
  Service service;
  for (std::size_t i = 0; i < 50; ++i) {
    service.add(0.85 * kSlots / kServiceSeconds, 1);
  }
  for (std::size_t i = 0; i < 15; ++i) {
    service.add(0, 1);
  }
  const double mean = service.plan().mean_utilization;
  // Servers without requests count with the usual service time.
  EXPECT_NEAR(mean, 0.85 * 50 / 65, 0.01);
  EXPECT_LE(service.planAndMove(), limitsFor(65).max_flows);
  for (std::size_t i = 50; i < 65; ++i) {
    EXPECT_GT(service.demand(i), 0.5 * mean * kSlots) << i;
  }
}

// Guards against moves that cost more than the difference is worth.
TEST(ServicePlanTest, NothingMovesIfTheMoveCostsMoreThanItSaves) {
  Service service = skewedService(65, 0.4);
  EXPECT_FALSE(service.plan({0.3, 0}).flows.empty());
  EXPECT_TRUE(service.plan({100, 0}).flows.empty());
  EXPECT_TRUE(service.plan({0, 100}).flows.empty());
}

TEST(ServicePlanTest, ServersThatMayNotGiveOrTakeAreLeftOut) {
  std::vector<ServerOffer> offers(3, {{2, kSlots, kServiceSeconds}, kAveragedSeconds, true, true});
  offers[0].load.demand = 12;
  offers[1].may_take = false;
  const ServicePlan plan = planService(offers, limitsFor(3), kCost);
  ASSERT_EQ(plan.flows.size(), 1U);
  EXPECT_EQ(plan.flows.front().to, 2U);
  offers[0].may_give = false;
  EXPECT_TRUE(planService(offers, limitsFor(3), kCost).flows.empty());
}

TEST(ServicePlanTest, ServiceWithoutLoadsMovesNothing) {
  EXPECT_TRUE(planService({}, limitsFor(0), kCost).flows.empty());
  EXPECT_TRUE(planService(std::vector<ServerOffer>(3), limitsFor(3), kCost).flows.empty());
}

}  // namespace
}  // namespace shedlever
