/// @file
/// Grants by commands: what the commands carry and what their results mean.

#include "source/core/router/ownership/request_grants.h"

#include <gtest/gtest.h>

#include <deque>
#include <utility>

#include "test/support/manual_clock.h"

namespace shedlever::test {
namespace {

using std::chrono::seconds;

OwnedRange ownRange(Key first, Key last, FenceToken token) {
  OwnedRange range;
  range.keys = {first, last};
  range.owner = InstanceId("i-1");
  range.node = NodeName("n-1");
  range.token = token;
  return range;
}

/// Records each command; the test answers by calling its `done`.
class ScriptedCommands final : public ServerCommands {
 public:
  void grant(const GrantCommand& command, std::function<void(CommandStatus)> done) override {
    grants.emplace_back(command, std::move(done));
  }
  void release(const ReleaseCommand& command, std::function<void(ReleaseResult)> done) override {
    releases.emplace_back(command, std::move(done));
  }

  std::deque<std::pair<GrantCommand, std::function<void(CommandStatus)>>> grants;
  std::deque<std::pair<ReleaseCommand, std::function<void(ReleaseResult)>>> releases;
};

class RequestGrantsTest : public ::testing::Test {
 protected:
  void update(const std::vector<OwnedRange>& wanted) {
    grants_.update(wanted, clock_.now() + seconds(60), clock_.now());
  }
  void answerGrant(CommandStatus status) {
    const auto command = commands_.grants.front();
    commands_.grants.pop_front();
    command.second(status);
  }

  OwnershipConfig config_;
  ManualClock clock_;
  ScriptedCommands commands_;
  int superseded_ = 0;
  int server_gone_ = 0;
  int newly_held_ = 0;
  RequestGrants grants_{
      config_,
      commands_,
      clock_,
      {[this](const OwnedRange&) { ++superseded_; }, [this] { ++server_gone_; }, [this] { ++newly_held_; }}};
};

TEST_F(RequestGrantsTest, CommandsNameTheOwnerOfTheRange) {
  const OwnedRange range = ownRange(0, 9, 4);
  update({range});
  ASSERT_EQ(commands_.grants.size(), 1U);
  EXPECT_EQ(commands_.grants.front().first.instance, range.owner);
  grants_.release(range, [](const ReleaseResult&) {});
  ASSERT_EQ(commands_.releases.size(), 1U);
  EXPECT_EQ(commands_.releases.front().first.instance, range.owner);
}

TEST_F(RequestGrantsTest, AnsweredGrantIsHeld) {
  update({ownRange(0, 9, 4)});
  answerGrant(CommandStatus::Done);
  EXPECT_TRUE(grants_.isHeld(5, clock_.now()));
  EXPECT_EQ(newly_held_, 1);
  EXPECT_EQ(server_gone_, 0);
}

// Guards against keys that are taken as held by a server whose address another instance has taken over.
TEST_F(RequestGrantsTest, GrantRefusedByAnotherInstanceIsNotHeldAndReportsTheServerAsGone) {
  update({ownRange(0, 9, 4)});
  answerGrant(CommandStatus::WrongInstance);
  EXPECT_FALSE(grants_.isHeld(5, clock_.now()));
  EXPECT_EQ(server_gone_, 1);
  EXPECT_EQ(newly_held_, 0);
  EXPECT_EQ(superseded_, 0);
}

// Guards against a present server that is given up because a command for the one before it was refused late.
TEST_F(RequestGrantsTest, RefusalOfACommandForAnEarlierServerSaysNothingOfThePresentOne) {
  update({ownRange(0, 9, 4)});
  grants_.clear();
  answerGrant(CommandStatus::WrongInstance);
  EXPECT_EQ(server_gone_, 0);
}

// Guards against a busy loop of commands at an address where another instance refuses them.
TEST_F(RequestGrantsTest, GrantRefusedByAnotherInstanceIsNotRepeatedBeforeTheRetryDelay) {
  update({ownRange(0, 9, 4)});
  answerGrant(CommandStatus::WrongInstance);
  update({ownRange(0, 9, 4)});
  EXPECT_TRUE(commands_.grants.empty());
  clock_.advance(config_.command_retry);
  update({ownRange(0, 9, 4)});
  EXPECT_EQ(commands_.grants.size(), 1U);
}

}  // namespace
}  // namespace shedlever::test
