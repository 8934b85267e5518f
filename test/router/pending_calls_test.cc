/// @file
/// Each call ends once, with its answer or without one after its timeout.

#include "source/router/pending_calls.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>

#include "test/support/scripted_server.h"

namespace shedlever::test {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

class PendingCallsTest : public ::testing::Test {
 protected:
  void add(ExchangeId exchange, Duration timeout) {
    calls_->add(exchange, timeout,
                [this, exchange](std::optional<int> answer) { answers_[exchange].push_back(answer); });
  }

  EventLoop loop_;
  std::map<ExchangeId, std::vector<std::optional<int>>> answers_;
  std::unique_ptr<PendingCalls<int>> calls_ = std::make_unique<PendingCalls<int>>(loop_);
};

TEST_F(PendingCallsTest, AnswerEndsItsCallAlone) {
  add(1, hours(1));
  add(2, hours(1));
  calls_->finish(2, 7);
  calls_->finish(2, 8);
  calls_->finish(3, 9);
  EXPECT_EQ(answers_.size(), 1U);
  EXPECT_EQ(answers_[2], (std::vector<std::optional<int>>{7}));
}

TEST_F(PendingCallsTest, CallWithoutAnAnswerEndsAfterItsTimeout) {
  add(1, milliseconds(1));
  ASSERT_TRUE(loop_.runUntil([this] { return answers_.contains(1); }, kTestTimeout));
  calls_->finish(1, 7);
  EXPECT_EQ(answers_[1], (std::vector<std::optional<int>>{std::nullopt}));
}

// A timer that outlives its owner would use freed memory.
TEST_F(PendingCallsTest, TimeoutsDoNotRunOnceTheCallsAreDestroyed) {
  add(1, milliseconds(1));
  calls_.reset();
  bool later = false;
  loop_.runAfter(milliseconds(5), [&later] { later = true; });
  ASSERT_TRUE(loop_.runUntil([&later] { return later; }, kTestTimeout));
  EXPECT_TRUE(answers_.empty());
}

}  // namespace
}  // namespace shedlever::test
