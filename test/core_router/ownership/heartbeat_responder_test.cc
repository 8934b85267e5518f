/// @file
/// Time at which heartbeats are acknowledged.

#include "source/core/router/ownership/heartbeat_responder.h"

#include <gtest/gtest.h>

#include "source/lab/sim/virtual_store.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

class HeartbeatResponderTest : public ::testing::Test {
 protected:
  HeartbeatResponder::Ports ports() {
    HeartbeatResponder::Ports ports;
    ports.clock = &time_;
    ports.assign = [](const KeyReport&, TimePoint) { return KeyAssignment{}; };
    ports.would_change = [this](const KeyReport&) { return would_change_; };
    ports.on_acknowledged = [this] { ++acknowledged_; };
    return ports;
  }

  void sendHeartbeat() {
    responder_.onHeartbeat({},
                           [this](const std::optional<KeyAssignment>& keys) { replies_.push_back(keys.has_value()); });
  }

  sim::VirtualTime time_;
  Duration max_wait_ = milliseconds(600);
  bool would_change_ = false;
  int acknowledged_ = 0;
  /// Whether each reply contained keys.
  std::vector<bool> replies_;
  HeartbeatResponder responder_{max_wait_, ports()};
};

TEST_F(HeartbeatResponderTest, ChangeIsAcknowledgedAtOnce) {
  would_change_ = true;
  sendHeartbeat();
  EXPECT_EQ(replies_, std::vector<bool>{true});
  EXPECT_EQ(acknowledged_, 1);
}

TEST_F(HeartbeatResponderTest, AcknowledgementWaitsForAChange) {
  sendHeartbeat();
  time_.runFor(milliseconds(300), [] {});
  responder_.respondIfDue();
  EXPECT_TRUE(replies_.empty());
  would_change_ = true;
  responder_.respondIfDue();
  EXPECT_EQ(replies_, std::vector<bool>{true});
}

TEST_F(HeartbeatResponderTest, AcknowledgementIsSentAfterTheMaximumWait) {
  sendHeartbeat();
  time_.runFor(milliseconds(600), [] {});
  responder_.respondIfDue();
  EXPECT_EQ(replies_, std::vector<bool>{true});
  responder_.respondIfDue();
  EXPECT_EQ(replies_.size(), 1U);
}

TEST_F(HeartbeatResponderTest, PendingHeartbeatIsAcknowledgedWithoutKeysWhenALaterOneArrives) {
  sendHeartbeat();
  sendHeartbeat();
  EXPECT_EQ(replies_, std::vector<bool>{false});
  would_change_ = true;
  responder_.respondIfDue();
  EXPECT_EQ(replies_, (std::vector<bool>{false, true}));
}

TEST_F(HeartbeatResponderTest, ZeroWaitAcknowledgesEveryHeartbeatAtOnce) {
  max_wait_ = Duration::zero();
  sendHeartbeat();
  EXPECT_EQ(replies_, std::vector<bool>{true});
}

}  // namespace
}  // namespace shedlever::test
