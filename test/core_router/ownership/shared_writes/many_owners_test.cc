/// @file
/// Tables of many owners in virtual time: how many store calls their edits take, also while the process that writes
/// for all of them fails.

#include <gtest/gtest.h>

#include <memory>

#include "test/support/ownership_expectations.h"

namespace shedlever::sim::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261202;
constexpr std::size_t kOwners = 65;
/// Reclaims of all owners are written in about as many batches as these.
constexpr std::uint64_t kFewWrites = 10;
/// First by name, so it writes for all.
constexpr std::size_t kWriter = 0;

OwnershipConfig manyOwnersConfig() {
  OwnershipConfig config;
  config.grant_delivery = GrantDelivery::Heartbeat;
  config.max_initial_ranges = 512;
  config.initial_ranges_per_server = 1;
  config.first_division_delay = milliseconds(100);
  return config;
}

StoreFaults slowStore() {
  StoreFaults faults;
  faults.response_time = milliseconds(60);
  return faults;
}

class ManyOwnersTest : public ::testing::Test {
 protected:
  void start(std::size_t owners, OwnershipConfig config = manyOwnersConfig()) {
    world_ = std::make_unique<SimulatedCluster>(owners, kSeed, config);
    for (std::size_t node = 0; node < owners; ++node) {
      world_->setStoreFaults(node, slowStore());
    }
    world_->run(milliseconds(2200));
    ASSERT_EQ(world_->servedKeys(), world_->sampledKeys());
  }
  void TearDown() override { expectNoViolations(*world_); }

  void expectAllServed() { EXPECT_EQ(world_->servedKeys(), world_->sampledKeys()); }

  /// Restarts all servers at once, so that each owner reclaims its ranges. @param wait for the reclaims.
  void restartAllServers(std::size_t owners, Duration wait) {
    for (std::size_t node = 0; node < owners; ++node) {
      world_->killServer(node);
      world_->startServer(node);
    }
    world_->run(wait);
  }

  /// Stops all processes and servers and starts them again.
  void loseAll(std::size_t owners) {
    world_->killAll();
    world_->run(milliseconds(300));
    world_->startAll();
    for (std::size_t node = 0; node < owners; ++node) {
      world_->setStoreFaults(node, slowStore());
    }
  }

  /// Counts calls and ended changes from now on.
  void beginCount() {
    calls_before_ = world_->tableWriteCalls() + world_->tableReads();
    written_before_ = world_->tableChanges("written");
  }
  std::uint64_t calls() const { return world_->tableWriteCalls() + world_->tableReads() - calls_before_; }
  std::uint64_t written() const { return world_->tableChanges("written") - written_before_; }
  void report() const {
    RecordProperty("store_calls", std::to_string(calls()));
    RecordProperty("changes_written", std::to_string(written()));
  }

  std::unique_ptr<SimulatedCluster> world_;
  std::uint64_t calls_before_ = 0;
  std::uint64_t written_before_ = 0;
};

// Guards against a write, and several conflicts, for each edit: the calls are limited, and owners wait for their keys.
TEST_F(ManyOwnersTest, EditsOfManyOwnersTakeFewerThanTwoCallsEach) {
  start(kOwners);
  beginCount();
  restartAllServers(kOwners, seconds(2));
  report();
  EXPECT_GE(written(), kOwners);
  EXPECT_LT(calls(), 2 * written());
  world_->run(seconds(1));
  expectAllServed();
}

// Guards against owners that change the table one after the other and wait for the writer each time.
TEST_F(ManyOwnersTest, EditsThatFollowEachOtherTakeFewerThanTwoCallsEach) {
  start(kOwners);
  beginCount();
  for (std::size_t node = 0; node < kOwners; ++node) {
    world_->killServer(node);
    world_->startServer(node);
    world_->run(milliseconds(30));
  }
  world_->run(seconds(1));
  report();
  EXPECT_GE(written(), kOwners);
  EXPECT_LT(calls(), 2 * written());
}

TEST_F(ManyOwnersTest, OwnersReclaimWithinTwoSecondsInFewCallsAfterALossOfAllMachines) {
  start(kOwners);
  beginCount();
  loseAll(kOwners);
  world_->run(seconds(2));
  report();
  EXPECT_GE(written(), kOwners);
  EXPECT_LT(calls(), 3 * kFewWrites);
}

// The writer keeps its connections but is cut off from the edits of others: they write by themselves.
TEST_F(ManyOwnersTest, OwnersNeedNoWriterThatIsCutOff) {
  start(kOwners);
  world_->setEditFaults(kWriter, {true});
  beginCount();
  restartAllServers(kOwners, seconds(3));
  report();
  EXPECT_GE(written(), kOwners);
  expectAllServed();
}

TEST_F(ManyOwnersTest, OwnersNeedNoWriterThatIsFrozenWhileItHasTheirEdits) {
  start(kOwners);
  beginCount();
  restartAllServers(kOwners, milliseconds(10));
  world_->pauseNode(kWriter);
  world_->run(seconds(3));
  report();
  EXPECT_GE(written(), kOwners - 1);
  world_->resumeNode(kWriter);
  world_->run(seconds(3));
  expectAllServed();
}

TEST_F(ManyOwnersTest, OwnersNeedNoWriterThatIsKilledDuringItsWrite) {
  start(kOwners);
  beginCount();
  // The edits are sent; the write is under way.
  restartAllServers(kOwners, milliseconds(70));
  world_->killNode(kWriter);
  world_->run(seconds(3));
  report();
  EXPECT_GE(written(), kOwners - 1);
  world_->restartNode(kWriter);
  world_->run(seconds(3));
  expectAllServed();
}

}  // namespace
}  // namespace shedlever::sim::test
