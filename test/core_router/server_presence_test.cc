/// @file
/// Which life of the server beside a process counts, and what it does.

#include "source/core/router/server_presence.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

class ServerPresenceTest : public ::testing::Test {
 protected:
  /// @param start 0: the server does not tell it.
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

TEST_F(ServerPresenceTest, NothingIsThereBeforeTheFirstReport) {
  EXPECT_TRUE(presence_.instance().empty());
  EXPECT_EQ(presence_.slots(), 0U);
}

TEST_F(ServerPresenceTest, NewLifeTakesThePlaceOfTheOldAndIsNotDraining) {
  EXPECT_EQ(presence_.onReport(report("i-1", 1)), PresenceChange::NewInstance);
  EXPECT_EQ(presence_.onReport(report("i-1", 2)), PresenceChange::Updated);
  EXPECT_TRUE(presence_.startDraining());
  EXPECT_FALSE(presence_.startDraining());
  EXPECT_EQ(presence_.onReport(report("i-2", 1)), PresenceChange::NewInstance);
  EXPECT_FALSE(presence_.draining());
  EXPECT_EQ(presence_.onReport(report("i-1", 9)), PresenceChange::None);
  EXPECT_EQ(presence_.instance(), InstanceId("i-2"));
}

TEST_F(ServerPresenceTest, ReportOfTheSameLifeDoesNotEndItsDraining) {
  presence_.onReport(report("i-1", 1));
  presence_.startDraining();
  EXPECT_EQ(presence_.onReport(report("i-1", 2)), PresenceChange::Updated);
  EXPECT_TRUE(presence_.draining());
}

// A process that has just restarted acknowledges that a server leaves before it knows any; a late report of that server
// must not bring it back.
TEST_F(ServerPresenceTest, LateReportOfALifeWhoseLeavingWasAcknowledgedDoesNotCount) {
  EXPECT_FALSE(presence_.onLeaving(report("i-1", 0)));
  EXPECT_EQ(presence_.onReport(report("i-1", 7)), PresenceChange::None);
  EXPECT_TRUE(presence_.instance().empty());
}

TEST_F(ServerPresenceTest, LeavingOfThePresentLifeIsItsOwn) {
  presence_.onReport(report("i-1", 1));
  EXPECT_TRUE(presence_.onLeaving(report("i-1", 2)));
  EXPECT_EQ(presence_.instance(), InstanceId("i-1"));
}

TEST_F(ServerPresenceTest, DeadLifeDoesNotComeBack) {
  presence_.onReport(report("i-1", 1));
  presence_.onGone();
  EXPECT_TRUE(presence_.instance().empty());
  EXPECT_EQ(presence_.onReport(report("i-1", 2)), PresenceChange::None);
  EXPECT_EQ(presence_.onReport(report("i-2", 1)), PresenceChange::NewInstance);
}

// The server starts again under its id: its counts start anew, and so does all that it said.
TEST_F(ServerPresenceTest, LaterStartOfTheSameServerIsItsNextLife) {
  EXPECT_EQ(presence_.onReport(report("i-1", 50, 1000)), PresenceChange::NewInstance);
  presence_.startDraining();
  EXPECT_FALSE(presence_.contradicts(report("i-1", 1, 2000)));
  EXPECT_EQ(presence_.onReport(report("i-1", 1, 2000)), PresenceChange::NewInstance);
  EXPECT_FALSE(presence_.draining());
  EXPECT_EQ(presence_.onReport(report("i-1", 51, 1000)), PresenceChange::None);
  EXPECT_EQ(presence_.instance(), instanceIdOf(ServerId("i-1"), 2000));
}

TEST_F(ServerPresenceTest, ServerThatIsDeadForSureMayStartAgainUnderItsId) {
  presence_.onReport(report("i-1", 50, 1000));
  presence_.onGone();
  EXPECT_EQ(presence_.onReport(report("i-1", 51, 1000)), PresenceChange::None);
  EXPECT_EQ(presence_.onReport(report("i-1", 1, 2000)), PresenceChange::NewInstance);
}

TEST_F(ServerPresenceTest, LateLeavingOfTheEarlierLifeIsNotThePresentOnes) {
  presence_.onReport(report("i-1", 1, 2000));
  EXPECT_FALSE(presence_.onLeaving(report("i-1", 9, 1000)));
  EXPECT_TRUE(presence_.onLeaving(report("i-1", 2, 2000)));
}

TEST_F(ServerPresenceTest, LeavingThatTellsNoStartIsThePresentLifes) {
  presence_.onReport(report("i-1", 1, 2000));
  ServerReport leaving = report("i-1", 2);
  leaving.leaving = true;
  EXPECT_TRUE(presence_.onLeaving(leaving));
}

// Seen: a server refused connections 0.6 s after it had said that it leaves. It
// was taken for dead and its keys were given away, while it worked and held them for 0.9 s more.
TEST_F(ServerPresenceTest, LeavingServerThatRefusesConnectionsMayStillHoldKeys) {
  EXPECT_TRUE(presence_.refusalProvesEnd(true));
  presence_.startDraining();
  EXPECT_FALSE(presence_.refusalProvesEnd(true));
  EXPECT_TRUE(presence_.refusalProvesEnd(false));
}

}  // namespace
}  // namespace shedlever::test
