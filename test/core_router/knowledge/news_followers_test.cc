/// @file
/// When the followers of a process are told of changes.

#include "source/core/router/knowledge/news_followers.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class NewsFollowersTest : public ::testing::Test {
 protected:
  NewsFollowersTest() {
    known_.config = {10, 50, Duration(milliseconds(100)).count()};
    known_.nodes = {20, 50, Duration(milliseconds(100)).count()};
  }

  std::vector<NewsFollowers::Due> due() { return followers_.takeDue(known_, now_); }

  /// Time passes, and what is known becomes older by it.
  void pass(Duration time) {
    now_ += time;
    known_.config.staleness_us += time.count();
    known_.nodes.staleness_us += time.count();
  }

  TimePoint now_{seconds(100)};
  KnownNews known_;
  NewsFollowers followers_;
};

TEST_F(NewsFollowersTest, WhoAsksIsToldAtOnceFromWhereItStands) {
  EXPECT_TRUE(due().empty());
  followers_.onQuestion(1, {7, {30, 40}}, now_);
  const auto told = due();
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told.front().question, 7U);
  EXPECT_EQ(told.front().told.config, 30U);
  EXPECT_EQ(told.front().told.nodes, 40U);
  EXPECT_TRUE(due().empty());
}

TEST_F(NewsFollowersTest, ChangedConfigurationIsToldAtOnceFromWhereTheLastFrameEnded) {
  followers_.onQuestion(1, {7, {}}, now_);
  due();
  pass(milliseconds(50));
  known_.config = {60, 61, 0};
  const auto told = due();
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told.front().told.config, 50U);
  EXPECT_EQ(told.front().since_question, milliseconds(50));
}

// Hundreds of machines that start change a record each: one frame tells of many.
TEST_F(NewsFollowersTest, ManyChangedNodesAreToldAFewTimesASecond) {
  followers_.onQuestion(1, {7, {}}, now_);
  due();
  std::size_t frames = 0;
  for (int i = 0; i < 20; ++i) {
    pass(milliseconds(50));
    known_.nodes.revision += 10;
    known_.nodes.at += 10;
    frames += due().size();
  }
  EXPECT_GE(frames, 4U);
  EXPECT_LE(frames, 5U);
}

TEST_F(NewsFollowersTest, HowNewAllIsIsToldTwiceASecondAlsoWhileNothingIsHeard) {
  followers_.onQuestion(1, {7, {}}, now_);
  due();
  std::size_t frames = 0;
  for (int i = 0; i < 20; ++i) {
    pass(milliseconds(50));
    frames += due().size();
  }
  EXPECT_EQ(frames, 2U);
}

TEST_F(NewsFollowersTest, WhatHasJustBecomeNewerIsToldOnAtOnce) {
  followers_.onQuestion(1, {7, {}}, now_);
  pass(milliseconds(400));
  due();
  pass(milliseconds(50));
  known_.config.staleness_us = 0;
  EXPECT_EQ(due().size(), 1U);
}

TEST_F(NewsFollowersTest, WhoIsGoneIsToldNothing) {
  followers_.onQuestion(1, {7, {}}, now_);
  followers_.onGone(1);
  EXPECT_TRUE(due().empty());
  EXPECT_TRUE(followers_.empty());
}

}  // namespace
}  // namespace shedlever::test
