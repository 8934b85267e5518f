/// @file
/// The rate limit that a server names. Guards against a limit that is lifted by a response written before the server
/// named it, and against one that outlasts what the server says.

#include "source/core/router/admission/named_limit.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

TimePoint at(int ms) { return kStart + milliseconds(ms); }

ServerCondition naming(double limit) { return {limit, false, false}; }

TEST(NamedLimitTest, FollowsResponsesInOrder) {
  NamedLimit limit;
  EXPECT_EQ(limit.onResponse({}, at(0), at(10)), LimitChange::None);
  EXPECT_EQ(limit.onResponse(naming(15.6), at(10), at(20)), LimitChange::Named);
  EXPECT_EQ(limit.onResponse(naming(15.6), at(20), at(30)), LimitChange::None);
  EXPECT_EQ(limit.onResponse(naming(20), at(30), at(40)), LimitChange::Changed);
  EXPECT_EQ(limit.perSecond(), 20);
  EXPECT_EQ(limit.onResponse({}, at(40), at(50)), LimitChange::Ended);
  EXPECT_EQ(limit.perSecond(), std::nullopt);
}

TEST(NamedLimitTest, ResponseToAnEarlierRequestLowersTheLimitButDoesNotLiftIt) {
  NamedLimit limit;
  limit.onResponse(naming(10), at(0), at(100));
  EXPECT_EQ(limit.onResponse({}, at(50), at(200)), LimitChange::None);
  EXPECT_EQ(limit.onResponse(naming(12), at(50), at(200)), LimitChange::None);
  EXPECT_EQ(limit.perSecond(), 10);
  EXPECT_EQ(limit.onResponse(naming(4), at(50), at(200)), LimitChange::Changed);
  EXPECT_EQ(limit.onResponse({}, at(150), at(250)), LimitChange::None);
  EXPECT_EQ(limit.onResponse({}, at(200), at(250)), LimitChange::Ended);
}

TEST(NamedLimitTest, InvalidLimitChangesNothing) {
  NamedLimit limit;
  const ServerCondition invalid{std::nullopt, true, false};
  EXPECT_EQ(limit.onResponse(invalid, at(0), at(10)), LimitChange::None);
  limit.onResponse(naming(0), at(10), at(20));
  EXPECT_EQ(limit.onResponse(invalid, at(20), at(30)), LimitChange::None);
  EXPECT_EQ(limit.perSecond(), 0);
}

TEST(NamedLimitTest, CommandResponseNamesALimitButDoesNotLiftIt) {
  NamedLimit limit;
  EXPECT_EQ(limit.onCommandResponse(naming(3), at(0), at(10)), LimitChange::Named);
  EXPECT_EQ(limit.onCommandResponse({}, at(20), at(30)), LimitChange::None);
  EXPECT_EQ(limit.perSecond(), 3);
}

}  // namespace
}  // namespace shedlever::test
