/// @file
/// Large uploads beside small calls to servers with uneven links and speeds, on virtual time. Guards against uploads
/// that all go to few fast servers because their links are not part of the choice, and wait there for seconds.

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "source/core/router/directory/server_directory.h"
#include "source/lab/sim/simulated_cluster.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
const ServiceName kService("intake");
constexpr std::size_t kGateways = 40;
constexpr double kUploadsPerSecond = 136;
constexpr double kCallsPerSecond = 300;
constexpr std::size_t kUploadBytes = 60'000;
constexpr std::size_t kCallBytes = 500;
constexpr Duration kUploadWork = milliseconds(160);
constexpr Duration kCallWork = milliseconds(40);
constexpr Duration kUploadObjective = seconds(1);
constexpr Duration kUploadDeadline = milliseconds(2500);
constexpr Duration kCallDeadline = milliseconds(500);
constexpr std::uint32_t kSlots = 6;
constexpr Duration kPropagation = milliseconds(1);
/// Index of the first node with a link of 10 Mbit/s; its server is a fast one.
constexpr std::size_t kFastServer = 3;
/// 99 of 100 requests are to be served in time.
constexpr double kMaxLateShare = 0.01;
constexpr double kBytesPerMegabit = 125'000;
constexpr double kMicrosecondsPerSecond = 1e6;

struct Transfer {
  std::size_t gateway = 0;
  bool is_upload = false;
  TimePoint sent{};
  TimePoint arrived{};
  ShipmentId shipment = 0;
};

/// A server behind a link that carries requests one after the other.
struct Node {
  NodeName name;
  double bytes_per_second = 0;
  double stated_bytes_per_second = 0;
  /// Service time relative to the usual one.
  double slowness = 1;
  TimePoint link_free_at{};
  Duration last_delay{};
  Duration longest_delay{};
  std::uint32_t running = 0;
  std::deque<Transfer> queue;
  std::size_t uploads = 0;
};

class UploadLoad {
 public:
  explicit UploadLoad(std::uint64_t seed) : random_(seed), choice_random_(seed) {
    for (std::size_t i = 0; i < 3; ++i) {
      addNode(1, 0.5);
    }
    for (std::size_t i = 0; i < 12; ++i) {
      addNode(10, 0.5 + 0.5 * static_cast<double>(i % 3));
    }
    addNode(200, 1.5);
    addNode(200, 1.5);
    for (std::size_t i = 0; i < kGateways; ++i) {
      gateways_.push_back(
          std::make_unique<ServerDirectory>(NodeName("gateway"), ZoneName("z"), ServerChoiceConfig{}, choice_random_));
      for (const Node& node : nodes_) {
        gateways_.back()->update(recordOf(node));
      }
    }
  }

  /// Runs the load for a while. Measured values start at zero.
  void run(Duration length) {
    upload_times_.clear();
    refused_ = 0;
    late_calls_ = 0;
    for (Node& node : nodes_) {
      node.longest_delay = {};
      node.uploads = 0;
    }
    const TimePoint end = now_ + length;
    scheduleArrival(true);
    scheduleArrival(false);
    while (events_.begin()->first < end) {
      now_ = events_.begin()->first;
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    now_ = end;
    arrivals_stopped_ = true;
    while (!events_.empty()) {
      now_ = events_.begin()->first;
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    arrivals_stopped_ = false;
  }

  Node& node(std::size_t index) { return nodes_.at(index); }
  const std::vector<Node>& nodes() const { return nodes_; }

  /// @return time within which this share of the uploads ended.
  Duration uploadTime(double share) {
    std::sort(upload_times_.begin(), upload_times_.end());
    return upload_times_.at(static_cast<std::size_t>(share * static_cast<double>(upload_times_.size() - 1)));
  }
  std::size_t uploads() const { return upload_times_.size(); }
  std::size_t refused() const { return refused_; }
  std::size_t lateCalls() const { return late_calls_; }

 private:
  void addNode(double megabits_per_second, double slowness) {
    Node node;
    node.name = NodeName("n" + std::to_string(nodes_.size()));
    node.bytes_per_second = megabits_per_second * kBytesPerMegabit;
    node.stated_bytes_per_second = node.bytes_per_second;
    node.slowness = slowness;
    nodes_.push_back(node);
  }

  static NodeRecord recordOf(const Node& node) {
    NodeRecord record;
    record.node = node.name;
    record.zone = ZoneName("z");
    record.service = kService;
    record.instance = InstanceId("i-" + node.name.value);
    record.slots = kSlots;
    return record;
  }

  void at(TimePoint time, std::function<void()> event) { events_.emplace(time, std::move(event)); }

  void scheduleArrival(bool is_upload) {
    const double rate = is_upload ? kUploadsPerSecond : kCallsPerSecond;
    const double wait = std::exponential_distribution<double>(rate)(random_);
    at(now_ + Duration(static_cast<Duration::rep>(wait * kMicrosecondsPerSecond)), [this, is_upload] {
      if (!arrivals_stopped_) {
        arrive(is_upload);
        scheduleArrival(is_upload);
      }
    });
  }

  void arrive(bool is_upload) {
    const std::size_t gateway = random_() % kGateways;
    ServerDirectory& directory = *gateways_[gateway];
    const RequestDemand demand{is_upload ? kUploadBytes : kCallBytes, is_upload ? kUploadDeadline : kCallDeadline,
                               is_upload ? "upload" : "call"};
    const RouteKind kind = is_upload ? RouteKind::AtMostOnce : RouteKind::Idempotent;
    const NodeRecord* chosen = directory.choose(kService, kind, {}, now_, demand);
    if (chosen == nullptr) {
      refused_ += is_upload ? 1 : 0;
      late_calls_ += is_upload ? 0 : 1;
      return;
    }
    Node& node = *std::find_if(nodes_.begin(), nodes_.end(), [&](const Node& n) { return n.name == chosen->node; });
    directory.onRequestSent(node.name);
    Transfer transfer{gateway, is_upload, now_, {}, 0};
    const double bytes = is_upload ? kUploadBytes : kCallBytes;
    const Duration transmission(static_cast<Duration::rep>(bytes / node.bytes_per_second * kMicrosecondsPerSecond));
    // All senders share the link, so that calls wait there as well.
    const Duration wait = std::max(node.link_free_at - now_, Duration::zero());
    node.link_free_at = now_ + wait + transmission;
    if (is_upload) {
      ++node.uploads;
      transfer.shipment = directory.links().onSent(node.name, kUploadBytes, now_);
      node.longest_delay = std::max(node.longest_delay, wait);
    }
    at(now_ + wait + transmission + kPropagation, [this, &node, transfer, wait] { deliver(node, transfer, wait); });
  }

  void deliver(Node& node, Transfer transfer, Duration wait) {
    if (transfer.is_upload) {
      gateways_[transfer.gateway]->links().onArrived(node.name, transfer.shipment, now_);
    }
    node.last_delay = wait;
    transfer.arrived = now_;
    node.queue.push_back(transfer);
    startQueued(node);
  }

  void startQueued(Node& node) {
    while (node.running < kSlots && !node.queue.empty()) {
      const Transfer transfer = node.queue.front();
      node.queue.pop_front();
      ++node.running;
      const Duration work = transfer.is_upload ? kUploadWork : kCallWork;
      const Duration service(static_cast<Duration::rep>(static_cast<double>(work.count()) * node.slowness));
      at(now_ + service, [this, &node, transfer, service] { finish(node, transfer, service); });
    }
  }

  void finish(Node& node, const Transfer& transfer, Duration service) {
    --node.running;
    startQueued(node);
    ForwardReplyFrame reply;
    reply.outcome = ForwardOutcome::Answered;
    reply.service_us = service.count();
    reply.load = {node.running, static_cast<std::uint32_t>(node.queue.size()), kSlots};
    reply.load.link_kbytes_per_s = static_cast<std::uint32_t>(node.stated_bytes_per_second / 1000);
    reply.load.arrival_delay_ms = static_cast<std::uint32_t>(node.last_delay / milliseconds(1));
    at(now_ + kPropagation, [this, &node, transfer, reply] {
      ServerDirectory& directory = *gateways_[transfer.gateway];
      directory.onRequestEnded(node.name);
      directory.onReply(node.name, transfer.is_upload ? "upload" : "call", reply, now_);
      if (transfer.is_upload) {
        upload_times_.push_back(now_ - transfer.sent);
      } else if (now_ - transfer.sent > kCallDeadline) {
        ++late_calls_;
      }
    });
  }

  std::mt19937_64 random_;
  sim::SeededRandom choice_random_;
  TimePoint now_ = kStart;
  std::vector<Node> nodes_;
  std::vector<std::unique_ptr<ServerDirectory>> gateways_;
  std::multimap<TimePoint, std::function<void()>> events_;
  bool arrivals_stopped_ = false;
  std::vector<Duration> upload_times_;
  std::size_t refused_ = 0;
  std::size_t late_calls_ = 0;
};

class UploadLoadTest : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(UploadLoadTest, UploadsAreSpreadByLinksAndSlotsAndNoLinkIsOverfull) {
  UploadLoad load(GetParam());
  load.run(seconds(5));
  load.run(seconds(30));
  EXPECT_LE(load.uploadTime(1.0 - kMaxLateShare), kUploadObjective);
  EXPECT_EQ(load.refused(), 0U);
  EXPECT_LE(load.lateCalls(), kCallsPerSecond * 30 * kMaxLateShare);
  for (const Node& node : load.nodes()) {
    // Behind a longer wait an upload can't be answered within its objective.
    EXPECT_LE(node.longest_delay, kUploadObjective - kUploadWork) << node.name.value << ": " << node.uploads;
  }
}

// The node states the bandwidth that it is configured with, whatever its link carries now.
TEST_P(UploadLoadTest, LinkThatShrinksToATenthIsAvoided) {
  UploadLoad load(GetParam());
  load.run(seconds(10));
  load.node(kFastServer).bytes_per_second /= 10;
  load.run(seconds(5));
  load.run(seconds(20));
  EXPECT_LE(load.uploadTime(1.0 - kMaxLateShare), kUploadObjective);
  EXPECT_LE(load.lateCalls(), kCallsPerSecond * 20 * kMaxLateShare);
}

TEST_P(UploadLoadTest, ThreeLinksThatShrinkToATenthDelayFewUploads) {
  UploadLoad load(GetParam());
  load.run(seconds(10));
  for (const std::size_t shrunk : {kFastServer, kFastServer + 1, kFastServer + 2}) {
    load.node(shrunk).bytes_per_second /= 10;
  }
  load.run(seconds(5));
  load.run(seconds(20));
  EXPECT_LE(load.uploadTime(0.95), kUploadObjective);
  EXPECT_LE(load.uploadTime(1.0 - kMaxLateShare), kUploadDeadline);
}

INSTANTIATE_TEST_SUITE_P(Seeds, UploadLoadTest, ::testing::Range<std::uint64_t>(1, 9));

}  // namespace
}  // namespace shedlever::test
