/// @file
/// Which instance of the server beside a process is the present one, and its state.

#include "source/core/router/directory/server_presence.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

class ServerPresenceTest : public ::testing::Test {
 protected:
  /// @param start 0: the server does not report its start.
  static ServerReport report(const std::string& server, std::uint64_t sequence, ServerStartMs start = 0) {
    ServerReport made;
    made.start = start == 0 ? std::nullopt : std::optional<ServerStartMs>(start);
    made.instance = instanceIdOf(ServerId(server), made.start);
    made.service = ServiceName("s");
    made.address = {"10.0.0.1", 80};
    made.slots = 18;
    made.sequence = sequence;
    return made;
  }

  ServerPresence presence_{ServiceName("s"), {"10.0.0.1", 80}};
};

TEST_F(ServerPresenceTest, NoInstanceBeforeTheFirstReport) {
  EXPECT_TRUE(presence_.instance().empty());
  EXPECT_EQ(presence_.slots(), 0U);
}

TEST_F(ServerPresenceTest, NewInstanceReplacesTheOldAndIsNotDraining) {
  EXPECT_EQ(presence_.onReport(report("i-1", 1)), PresenceChange::NewInstance);
  EXPECT_EQ(presence_.onReport(report("i-1", 2)), PresenceChange::Updated);
  EXPECT_TRUE(presence_.startDraining());
  EXPECT_FALSE(presence_.startDraining());
  EXPECT_EQ(presence_.onReport(report("i-2", 1)), PresenceChange::NewInstance);
  EXPECT_FALSE(presence_.draining());
  EXPECT_EQ(presence_.onReport(report("i-1", 9)), PresenceChange::None);
  EXPECT_EQ(presence_.instance(), InstanceId("i-2"));
}

TEST_F(ServerPresenceTest, ReportOfTheSameInstanceDoesNotEndItsDraining) {
  presence_.onReport(report("i-1", 1));
  presence_.startDraining();
  EXPECT_EQ(presence_.onReport(report("i-1", 2)), PresenceChange::Updated);
  EXPECT_TRUE(presence_.draining());
}

// A restarted process may acknowledge that a server is leaving before it knows the server; a late report must not bring
// the server back.
TEST_F(ServerPresenceTest, LateReportAfterAnAcknowledgedLeaveIsRejected) {
  EXPECT_FALSE(presence_.onLeaving(report("i-1", 0)));
  EXPECT_EQ(presence_.onReport(report("i-1", 7)), PresenceChange::None);
  EXPECT_TRUE(presence_.instance().empty());
}

TEST_F(ServerPresenceTest, LeaveOfThePresentInstanceIsRecognized) {
  presence_.onReport(report("i-1", 1));
  EXPECT_TRUE(presence_.onLeaving(report("i-1", 2)));
  EXPECT_EQ(presence_.instance(), InstanceId("i-1"));
}

TEST_F(ServerPresenceTest, ReportOfADeadInstanceIsRejected) {
  presence_.onReport(report("i-1", 1));
  presence_.onGone();
  EXPECT_TRUE(presence_.instance().empty());
  EXPECT_EQ(presence_.onReport(report("i-1", 2)), PresenceChange::None);
  EXPECT_EQ(presence_.onReport(report("i-2", 1)), PresenceChange::NewInstance);
}

// A server that restarts under the same id numbers its reports from the beginning.
TEST_F(ServerPresenceTest, LaterStartOfTheSameServerIsANewInstance) {
  EXPECT_EQ(presence_.onReport(report("i-1", 50, 1000)), PresenceChange::NewInstance);
  presence_.startDraining();
  EXPECT_FALSE(presence_.contradicts(report("i-1", 1, 2000)));
  EXPECT_EQ(presence_.onReport(report("i-1", 1, 2000)), PresenceChange::NewInstance);
  EXPECT_FALSE(presence_.draining());
  EXPECT_EQ(presence_.onReport(report("i-1", 51, 1000)), PresenceChange::None);
  EXPECT_EQ(presence_.instance(), instanceIdOf(ServerId("i-1"), 2000));
}

TEST_F(ServerPresenceTest, DeadServerMayRestartUnderTheSameId) {
  presence_.onReport(report("i-1", 50, 1000));
  presence_.onGone();
  EXPECT_EQ(presence_.onReport(report("i-1", 51, 1000)), PresenceChange::None);
  EXPECT_EQ(presence_.onReport(report("i-1", 1, 2000)), PresenceChange::NewInstance);
}

TEST_F(ServerPresenceTest, LateLeaveOfAnEarlierInstanceDoesNotAffectThePresentOne) {
  presence_.onReport(report("i-1", 1, 2000));
  EXPECT_FALSE(presence_.onLeaving(report("i-1", 9, 1000)));
  EXPECT_TRUE(presence_.onLeaving(report("i-1", 2, 2000)));
}

TEST_F(ServerPresenceTest, LeaveWithoutAStartIsOfThePresentInstance) {
  presence_.onReport(report("i-1", 1, 2000));
  ServerReport leaving = report("i-1", 2);
  leaving.leaving = true;
  EXPECT_TRUE(presence_.onLeaving(leaving));
}

// A leaving server may refuse connections while it still holds keys; they must not be reassigned yet.
TEST_F(ServerPresenceTest, LeavingServerThatRefusesConnectionsMayStillHoldKeys) {
  EXPECT_TRUE(presence_.refusalEndsUse(true));
  presence_.startDraining();
  EXPECT_FALSE(presence_.refusalEndsUse(true));
  EXPECT_TRUE(presence_.refusalEndsUse(false));
}

}  // namespace
}  // namespace shedlever::test
