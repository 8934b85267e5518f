/// @file
/// The queue of a server under more load than it serves. Guards against requests that wait and are then refused, while
/// a refusal on arrival would have let the caller try another server.

#include <gtest/gtest.h>

#include "test/support/queue_load.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 6;
constexpr Duration kLength = seconds(30);
constexpr Duration kAlways = std::chrono::hours(1);
constexpr std::uint64_t kSeeds = 10;
constexpr std::size_t kSearches = 0;
constexpr std::size_t kReads = 1;

/// Two classes that share the slots equally and together offer this multiple of what the slots serve.
std::vector<LoadStream> twoClasses(double overload, Duration from = {}, Duration until = kAlways) {
  const double share = overload * kSlots / 2;
  return {{"search", 0, milliseconds(800), milliseconds(2000), milliseconds(180), share / 0.180, from, until},
          {"read", 0, milliseconds(600), milliseconds(1500), milliseconds(140), share / 0.140, from, until}};
}

constexpr Duration kLongestObjective = milliseconds(800);
constexpr std::size_t kCalls = 2;

/// Calls of other servers that take up this multiple of the slots.
LoadStream calls(double share) {
  return {"call", 0, milliseconds(150), milliseconds(1500), milliseconds(40), share * kSlots / 0.040, {}, kAlways};
}

/// @return slot time of the stream relative to that of all slots.
double shareOfSlots(const StreamResult& result) {
  return std::chrono::duration<double>(result.slot_time).count() /
         (kSlots * std::chrono::duration<double>(kLength).count());
}

class QueueOverloadTest : public ::testing::TestWithParam<double> {};

TEST_P(QueueOverloadTest, FewRequestsWaitInVainAndNoneBeyondItsObjective) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QueueLoad load(seed, kSlots, twoClasses(GetParam()));
    load.run(kLength);
    EXPECT_LE(load.total().shareInVain(), 0.01) << seed;
    EXPECT_LE(load.total().longest_vain_wait, kLongestObjective) << seed;
  }
}

// Guards against refusals that leave slots idle, and against a class that the other one starves.
TEST_P(QueueOverloadTest, SlotsStayInUseAndBothClassesAreServed) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QueueLoad load(seed, kSlots, twoClasses(GetParam()));
    load.run(kLength);
    EXPECT_GE(shareOfSlots(load.total()), 0.95) << seed;
    EXPECT_GE(static_cast<double>(load.total().served_in_time), 0.95 * static_cast<double>(load.total().started))
        << seed;
    EXPECT_GE(shareOfSlots(load.result(kSearches)), 0.1) << seed;
    EXPECT_GE(shareOfSlots(load.result(kReads)), 0.1) << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Overloads, QueueOverloadTest, ::testing::Values(1.3, 2.0, 5.0));

// While no queue forms, every request starts on arrival.
TEST(QueueOrderTest, WithoutAQueueEveryRequestStartsOnArrival) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QueueLoad load(seed, 4 * kSlots, twoClasses(0.9));
    load.run(kLength);
    EXPECT_EQ(load.total().started, load.total().arrived) << seed;
    EXPECT_EQ(load.total().longest_start_wait, Duration::zero()) << seed;
    EXPECT_EQ(load.total().served_in_time, load.total().arrived) << seed;
  }
}

TEST(QueueOrderTest, ShortQueuesBelowTheCapacityAreServedInTime) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QueueLoad load(seed, kSlots, twoClasses(0.8));
    load.run(kLength);
    EXPECT_GE(load.total().shareServedInTime(), 0.98) << seed;
    EXPECT_EQ(load.total().waited_in_vain, 0U) << seed;
  }
}

TEST(QueueOrderTest, FewRequestsWaitInVainInABurst) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::vector<LoadStream> streams = twoClasses(0.7);
    const std::vector<LoadStream> burst = twoClasses(2.0, seconds(5), seconds(8));
    streams.insert(streams.end(), burst.begin(), burst.end());
    QueueLoad load(seed, kSlots, streams);
    load.run(seconds(14));
    EXPECT_LE(load.total().shareInVain(), 0.01) << seed;
  }
}

// The requests that wait when the server becomes slow can't all start in time; later ones are refused on arrival.
TEST(QueueOrderTest, FewRequestsWaitInVainWhenTheServerBecomesThreeTimesSlower) {
  StreamResult total;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QueueLoad load(seed, kSlots, twoClasses(0.7));
    load.run(seconds(20), [](QueueLoad& self, Duration since_start) {
      self.setSlowness(since_start >= seconds(5) && since_start < seconds(15) ? 3.0 : 1.0);
    });
    total.waited_in_vain += load.total().waited_in_vain;
    total.arrived += load.total().arrived;
  }
  EXPECT_LE(total.shareInVain(), 0.03);
}

TEST(QueueOrderTest, FewRequestsWaitInVainUnderAColdLimit) {
  StreamResult total;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QueueLoad load(seed, kSlots, twoClasses(0.9));
    load.run(seconds(20), [](QueueLoad& self, Duration since_start) {
      const bool cold = since_start >= seconds(5) && since_start < seconds(15);
      self.queue().setStartLimit(cold ? std::optional(15.0) : std::nullopt);
    });
    total.waited_in_vain += load.total().waited_in_vain;
    total.arrived += load.total().arrived;
  }
  EXPECT_LE(total.shareInVain(), 0.03);
}

// A call keeps a slot of its caller in use, so that it goes first where the slots suffice for it.
TEST(QueueOrderTest, CallsOfServersAreServedInTimeBesideAnOverload) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::vector<LoadStream> streams = twoClasses(1.3);
    streams.push_back(calls(0.3));
    QueueLoad load(seed, kSlots, streams);
    load.run(kLength);
    EXPECT_GE(load.result(kCalls).shareServedInTime(), 0.95) << seed;
  }
}

// Guards against calls that starve the requests of clients.
TEST(QueueOrderTest, RequestsKeepAShareOfTheSlotsHoweverManyCallsArrive) {
  for (const double share : {0.9, 2.0, 5.0}) {
    std::vector<LoadStream> streams = twoClasses(1.3);
    streams.push_back(calls(share));
    QueueLoad load(1, kSlots, streams);
    load.run(kLength);
    const double requests = shareOfSlots(load.result(kSearches)) + shareOfSlots(load.result(kReads));
    EXPECT_GE(requests, 0.25) << share;
    EXPECT_GE(shareOfSlots(load.result(kCalls)), 0.5) << share;
  }
}

}  // namespace
}  // namespace shedlever::test
