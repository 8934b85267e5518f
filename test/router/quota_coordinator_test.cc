/// @file
/// Quotas over several nodes: all gateways together send no more than a tenant's quota, whichever nodes are lost or cut
/// off from each other.

#include "source/router/quota_coordinator.h"

#include <fcntl.h>
#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "source/lab/sim/simulated_cluster.h"
#include "source/net/system_clock_and_random.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
const TenantName kTenant("a");
constexpr QuotaLimit kLimit{100, 100};

/// Nodes whose messages arrive at once, unless the nodes are on different sides of a partition or stopped.
class QuotaCluster {
 public:
  explicit QuotaCluster(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      nodes_.push_back(std::make_unique<Node>());
      nodes_.back()->directory =
          std::make_unique<ServerDirectory>(nameOf(i), ZoneName("z"), ServerChoiceConfig{}, random_);
      for (std::size_t other = 0; other < count; ++other) {
        nodes_.back()->directory->update(recordOf(other));
      }
      restart(i);
    }
  }

  /// Starts the node's process anew; it remembers nothing.
  void restart(std::size_t index) {
    Node& node = *nodes_[index];
    node.stopped = false;
    QuotaCoordinator::Ports ports;
    ports.loop = &loop_;
    ports.clock = &clock_;
    ports.directory = node.directory.get();
    ports.log = &log_;
    ports.metrics = &metrics_;
    ports.ask = [this, index](const NodeName& to, const QuotaRequestFrame& question, Duration,
                              const std::function<void(std::optional<QuotaGrantFrame>)>& done) {
      ++messages_;
      Node& target = *nodes_[indexOf(to)];
      const bool arrives = !target.stopped && target.side == nodes_[index]->side;
      done(arrives ? std::optional(target.coordinator->answer(question)) : std::nullopt);
    };
    ports.ensure_connected = [](const NodeName&) {};
    node.coordinator = std::make_unique<QuotaCoordinator>(nameOf(index), std::move(ports));
  }

  /// Stops the first nodes.
  void stopFirst(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      nodes_[i]->stopped = true;
    }
    updateReachability();
  }

  /// Separates the first nodes from the others; 0: ends the partition.
  void separateFirst(std::size_t count) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      nodes_[i]->side = i < count ? 1 : 0;
    }
    updateReachability();
  }

  void updateReachability() {
    for (const auto& from : nodes_) {
      for (std::size_t to = 0; to < nodes_.size(); ++to) {
        const bool reachable = !nodes_[to]->stopped && nodes_[to]->side == from->side;
        if (reachable) {
          from->directory->onReachable(nameOf(to));
        } else {
          from->directory->markUnreachable(nameOf(to));
        }
      }
    }
  }

  /// All gateways together send so many requests a second, one after the other. @return how many were granted.
  std::size_t run(Duration span, int requests_per_second) {
    std::size_t granted = 0;
    double due = 0;
    for (Duration passed{}; passed < span; passed += kStep) {
      clock_.advance(kStep);
      for (due += requests_per_second * std::chrono::duration<double>(kStep).count(); due >= 1; --due) {
        const std::size_t gateway = random_.below(nodes_.size());
        if (!nodes_[gateway]->stopped) {
          ++sent_;
          nodes_[gateway]->coordinator->take(kTenant, kLimit, [&granted](const QuotaDecision& decision) {
            granted += decision.verdict == QuotaVerdict::Granted ? 1 : 0;
          });
        }
      }
    }
    return granted;
  }

  std::size_t size() const { return nodes_.size(); }
  std::size_t messages() const { return messages_; }
  std::size_t sent() const { return sent_; }

 private:
  struct Node {
    std::unique_ptr<ServerDirectory> directory;
    std::unique_ptr<QuotaCoordinator> coordinator;
    bool stopped = false;
    int side = 0;
  };

  class SettableClock final : public Clock {
   public:
    TimePoint now() const override { return now_; }
    void advance(Duration span) { now_ += span; }

   private:
    TimePoint now_{seconds(100)};
  };

  static NodeName nameOf(std::size_t index) { return NodeName("n" + std::to_string(index)); }
  static std::size_t indexOf(const NodeName& name) { return std::stoul(name.value.substr(1)); }

  static NodeRecord recordOf(std::size_t index) {
    NodeRecord record;
    record.node = nameOf(index);
    record.service = ServiceName("s");
    record.instance = InstanceId("i" + std::to_string(index));
    record.slots = 4;
    record.holds_quotas = true;
    return record;
  }

  EventLoop loop_;
  SettableClock clock_;
  sim::SeededRandom random_{5};
  EventLog log_{loop_, clock_, open("/dev/null", O_WRONLY | O_CLOEXEC)};
  RouterMetrics metrics_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::size_t messages_ = 0;
  std::size_t sent_ = 0;
};

/// Bound of the granted requests in a span, with a tenth more and twenty requests for what can't be avoided.
double boundWithin(Duration span) {
  return (kLimit.requests_per_second * std::chrono::duration<double>(span).count() + kLimit.burst) * 1.1 + 20;
}

class QuotaCoordinatorTest : public ::testing::TestWithParam<std::size_t> {};

TEST_P(QuotaCoordinatorTest, GatewaysTogetherSendTheQuotaAndNoMore) {
  QuotaCluster cluster(GetParam());
  cluster.run(seconds(3), 1000);
  const auto granted = static_cast<double>(cluster.run(seconds(5), 1000));
  EXPECT_LE(granted, boundWithin(seconds(5)));
  EXPECT_GE(granted, 490);
}

TEST_P(QuotaCoordinatorTest, NothingBelowTheQuotaIsRefusedHoweverItIsSpread) {
  QuotaCluster cluster(GetParam());
  cluster.run(seconds(3), 10);
  const std::size_t sent_before = cluster.sent();
  const std::size_t granted = cluster.run(seconds(10), 90);
  EXPECT_EQ(granted, cluster.sent() - sent_before);
  EXPECT_LE(cluster.messages(), cluster.sent());
}

// Guards against a lost holder taking its tenants' quota with it, or being replaced by several.
TEST_P(QuotaCoordinatorTest, LossOfAThirdOfTheNodesKeepsTheQuota) {
  QuotaCluster cluster(GetParam());
  cluster.run(seconds(3), 1000);
  cluster.stopFirst(cluster.size() / 3);
  EXPECT_LE(static_cast<double>(cluster.run(seconds(5), 1500)), boundWithin(seconds(5)));
  cluster.run(seconds(10), 1500);
  EXPECT_GE(cluster.run(seconds(5), 1500), 490U);
}

// Guards against both halves of a partitioned network sending the whole quota.
TEST_P(QuotaCoordinatorTest, HalvesOfAPartitionTogetherSendTheQuotaAndNoMore) {
  QuotaCluster cluster(GetParam());
  cluster.run(seconds(3), 1000);
  cluster.separateFirst(cluster.size() / 2);
  for (int window = 0; window < 4; ++window) {
    EXPECT_LE(static_cast<double>(cluster.run(seconds(5), 1000)), boundWithin(seconds(5))) << window;
  }
  cluster.separateFirst(0);
  EXPECT_LE(static_cast<double>(cluster.run(seconds(5), 1000)), boundWithin(seconds(5)));
}

INSTANTIATE_TEST_SUITE_P(Nodes, QuotaCoordinatorTest, ::testing::Values(12, 83, 985));

}  // namespace
}  // namespace shedlever::test
