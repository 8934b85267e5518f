/// @file
/// Who writes the owner table for all, and what owners hear of each other's load.

#include "source/core/router/ownership/write_combiner.h"

#include <gtest/gtest.h>

#include "source/core/router/ownership/demand_board.h"
#include "source/lab/sim/ownership_world.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow = TimePoint(seconds(100));

class WriteCombinerTest : public ::testing::Test {
 protected:
  void add(const std::string& name, bool heard_of = true) {
    NodeRecord record;
    record.node = NodeName(name);
    record.service = service_;
    record.instance = InstanceId("i-" + name);
    directory_.update(record);
    if (heard_of) {
      directory_.onReachable(record.node);
    }
  }

  const ServiceName service_{"s"};
  sim::SeededRandom random_{1};
  ServerDirectory directory_{NodeName("m"), ZoneName("z"), {}, random_};
  WriteCombiner combiner_{NodeName("m"), service_};
};

TEST_F(WriteCombinerTest, FirstByNameOfThoseThatCanBeReached) {
  add("b");
  add("a");
  add("0", false);
  EXPECT_EQ(combiner_.choose(directory_, true, kNow), NodeName("a"));
  directory_.markUnreachable(NodeName("a"));
  EXPECT_EQ(combiner_.choose(directory_, true, kNow), NodeName("b"));
}

TEST_F(WriteCombinerTest, WhoComesFirstItselfAsksNobody) {
  add("x");
  EXPECT_TRUE(combiner_.choose(directory_, true, kNow).empty());
  EXPECT_EQ(combiner_.choose(directory_, false, kNow), NodeName("x"));
}

TEST_F(WriteCombinerTest, OneThatDidNotAnswerIsLeftAloneForAWhile) {
  add("a");
  add("b");
  combiner_.onFailed(NodeName("a"), kNow);
  EXPECT_EQ(combiner_.choose(directory_, true, kNow + seconds(1)), NodeName("b"));
  EXPECT_EQ(combiner_.choose(directory_, true, kNow + seconds(4)), NodeName("a"));
}

TEST(DemandBoardTest, TellsTheNewestOfEachAndNothingOld) {
  DemandBoard board;
  ServerLoad load;
  load.demand_hundredths = 100;
  board.note({NodeName("a"), load, 0}, kNow);
  load.demand_hundredths = 900;
  // Was on its way for longer.
  board.note({NodeName("a"), load, Duration(seconds(2)).count()}, kNow + seconds(1));
  board.note({NodeName("b"), load, 0}, kNow + seconds(3));
  const auto all = board.all(kNow + milliseconds(3100));
  ASSERT_EQ(all.size(), 1U);
  EXPECT_EQ(all.front().node, NodeName("b"));
  EXPECT_EQ(all.front().age_us, Duration(milliseconds(100)).count());
  EXPECT_EQ(board.all(kNow + seconds(1)).front().load.demand_hundredths, 100U);
}

TEST_F(WriteCombinerTest, ToldDemandCountsUntilAReplyTellsNewer) {
  add("a");
  ServerLoad told;
  told.demand_hundredths = 500;
  EXPECT_EQ(directory_.demand(NodeName("a"), kNow), nullptr);
  directory_.noteDemand(NodeName("a"), told, kNow);
  EXPECT_EQ(directory_.demand(NodeName("a"), kNow + seconds(3))->demand_hundredths, 500U);
  EXPECT_EQ(directory_.demand(NodeName("a"), kNow + seconds(5)), nullptr);
  // Where requests go does not follow from it.
  EXPECT_EQ(directory_.load(NodeName("a"), kNow), nullptr);
  ForwardReplyFrame reply;
  reply.load.slots = 10;
  reply.load.demand_hundredths = 900;
  directory_.onReply(NodeName("a"), "r", reply, kNow + seconds(1));
  EXPECT_EQ(directory_.demand(NodeName("a"), kNow + seconds(2))->demand_hundredths, 900U);
}

}  // namespace
}  // namespace shedlever::test
