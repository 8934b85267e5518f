/// @file
/// Requests that wait at a gateway for tokens of their tenant's quota.

#include "source/core/router/quota/quota_queue.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

class QuotaQueueTest : public ::testing::Test {
 protected:
  void add(int count) {
    for (int i = 0; i < count; ++i) {
      queue_.add([this, number = ++last_](const QuotaDecision& decision) {
        (decision.verdict == QuotaVerdict::Granted ? granted_ : refused_).push_back(number);
        last_decision_ = decision;
      });
    }
  }

  static void run(const std::vector<std::pair<QuotaCallback, QuotaDecision>>& ended) {
    for (const auto& [done, decision] : ended) {
      done(decision);
    }
  }

  QuotaQueue queue_;
  int last_ = 0;
  std::vector<int> granted_;
  std::vector<int> refused_;
  QuotaDecision last_decision_;
};

TEST_F(QuotaQueueTest, TokensGoToTheRequestsThatCameFirst) {
  add(3);
  EXPECT_EQ(queue_.onAsked(), 3U);
  run(queue_.onAnswered({2, milliseconds(40)}));
  EXPECT_EQ(granted_, (std::vector<int>{1, 2}));
  EXPECT_EQ(refused_, (std::vector<int>{3}));
  EXPECT_EQ(last_decision_.verdict, QuotaVerdict::Exceeded);
  EXPECT_EQ(last_decision_.retry_after, milliseconds(40));
  EXPECT_TRUE(queue_.idle());
}

// Guards against one message for each request of a busy tenant.
TEST_F(QuotaQueueTest, RequestsThatComeMeanwhileShareTheNextQuestion) {
  add(1);
  queue_.onAsked();
  EXPECT_FALSE(queue_.mayAsk());
  add(5);
  EXPECT_FALSE(queue_.mayAsk());
  run(queue_.onAnswered({1, {}}));
  EXPECT_TRUE(queue_.mayAsk());
  EXPECT_EQ(queue_.onAsked(), 5U);
}

TEST_F(QuotaQueueTest, WithoutAHolderTheRequestsAreRefusedAsUnavailable) {
  add(2);
  queue_.onAsked();
  run(queue_.onUnavailable(milliseconds(200)));
  EXPECT_EQ(refused_.size(), 2U);
  EXPECT_EQ(last_decision_.verdict, QuotaVerdict::Unavailable);
}

TEST_F(QuotaQueueTest, UnusedTokensGoBackOnce) {
  queue_.giveBack();
  queue_.giveBack();
  EXPECT_FALSE(queue_.idle());
  EXPECT_EQ(queue_.takeUnused(), 2U);
  EXPECT_EQ(queue_.takeUnused(), 0U);
}

}  // namespace
}  // namespace shedlever::test
