/// @file
/// Durations of grants by command near the end of the lease.

#include <gtest/gtest.h>

#include "source/core/router/ownership/request_grants.h"
#include "source/lab/sim/virtual_store.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Delivers each grant after a delay to a server with a slow clock, and records how long the server holds the keys.
class DelayedCommands final : public ServerCommands {
 public:
  DelayedCommands(sim::VirtualTime& time, double clock_drift_factor)
      : time_(time), clock_drift_factor_(clock_drift_factor) {}

  void grant(const GrantCommand& command, std::function<void(CommandStatus)> done) override {
    ++sent;
    time_.after(delay, [this, command, done = std::move(done)] {
      const auto hold = std::chrono::duration_cast<Duration>(command.hold_duration * clock_drift_factor_);
      held_until = std::max(held_until, time_.now() + hold);
      done(CommandStatus::Done);
    });
  }
  void release(const ReleaseCommand&, std::function<void(ReleaseResult)>) override {}

  /// From the call to the arrival at the server, which answers at once.
  Duration delay{};
  int sent = 0;
  TimePoint held_until{};

 private:
  sim::VirtualTime& time_;
  double clock_drift_factor_;
};

class GrantHoldTest : public ::testing::Test {
 protected:
  /// Updates the grants every 50 ms under a lease of 4 s until it has ended and the last command has been answered.
  void runUntilLeaseEnds() {
    lease_until_ = time_.now() + seconds(4);
    while (time_.now() < lease_until_ + kGrantTimeout) {
      grants_.update({range_}, lease_until_, time_.now());
      time_.runFor(milliseconds(50), [] {});
    }
  }

  static OwnedRange ownRange() {
    OwnedRange range;
    range.keys = {0, 99};
    range.owner = InstanceId("i-1");
    range.node = NodeName("self");
    range.token = 7;
    return range;
  }

  static GrantChannel::Events noEvents() {
    return {[](const OwnedRange&) {}, [] {}, [] {}};
  }

  OwnershipConfig config_;
  sim::VirtualTime time_;
  DelayedCommands commands_{time_, config_.clock_drift_factor};
  RequestGrants grants_{config_, commands_, time_, noEvents()};
  const OwnedRange range_ = ownRange();
  TimePoint lease_until_{};
};

// A grant that was sent near the end of the lease and arrived later lasted longer than the lease, up to 300 ms, while
// another node could take the keys over.
TEST_F(GrantHoldTest, AnsweredGrantsEndWithTheLeaseWhateverTheTimeUntilTheirArrival) {
  for (const Duration delay : {milliseconds(0), milliseconds(90), milliseconds(290)}) {
    commands_.delay = delay;
    commands_.sent = 0;
    runUntilLeaseEnds();
    EXPECT_GT(commands_.sent, 0);
    EXPECT_LE(commands_.held_until, lease_until_) << "delay in us: " << delay.count();
    grants_.clear();
  }
}

// Keys must be served under a lease that is not renewed for as long as grants of a useful duration fit into it.
TEST_F(GrantHoldTest, GrantsAreSentUntilTheShortestOneNoLongerFits) {
  runUntilLeaseEnds();
  EXPECT_GE(commands_.held_until, lease_until_ - kGrantTimeout - config_.min_grant);
}

}  // namespace
}  // namespace shedlever::test
