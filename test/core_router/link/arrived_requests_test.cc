/// @file
/// Tests when requests that were read from a stream begin.

#include "source/core/router/link/arrived_requests.h"

#include <gtest/gtest.h>

#include <vector>

namespace shedlever::test {
namespace {

ArrivedRequest request(ExchangeId exchange) {
  ArrivedRequest arrived;
  arrived.frame.exchange = exchange;
  return arrived;
}

std::vector<ExchangeId> exchangesOf(const std::vector<ArrivedRequest>& requests) {
  std::vector<ExchangeId> exchanges;
  exchanges.reserve(requests.size());
  for (const ArrivedRequest& each : requests) {
    exchanges.push_back(each.frame.exchange);
  }
  return exchanges;
}

using Exchanges = std::vector<ExchangeId>;

TEST(ArrivedRequestsTest, RequestsBeginAtOnceWhenNothingElseHasArrived) {
  ArrivedRequests requests;
  requests.add(request(1));
  requests.add(request(2));
  EXPECT_EQ(exchangesOf(requests.takeDue(100, 100)), (Exchanges{1, 2}));
  EXPECT_TRUE(requests.empty());
}

// Guards against work for clients that left while their request was on the way.
TEST(ArrivedRequestsTest, RequestWhoseCancellationHadArrivedNeverBegins) {
  ArrivedRequests requests;
  requests.add(request(1));
  requests.add(request(2));
  EXPECT_TRUE(requests.takeDue(100, 300).empty());
  EXPECT_TRUE(requests.cancel(1));
  EXPECT_EQ(exchangesOf(requests.takeDue(300, 300)), (Exchanges{2}));
  EXPECT_FALSE(requests.cancel(2)) << "it has begun";
}

// Guards against requests on a full link that wait for each later byte and so never begin.
TEST(ArrivedRequestsTest, RequestOnAStreamThatNeverRunsDryBeginsAfterTheBytesThatHadArrivedWithIt) {
  ArrivedRequests requests;
  requests.add(request(1));
  EXPECT_TRUE(requests.takeDue(100, 300).empty());
  requests.add(request(2));
  EXPECT_TRUE(requests.takeDue(200, 700).empty());
  EXPECT_EQ(exchangesOf(requests.takeDue(300, 1100)), (Exchanges{1}));
  EXPECT_TRUE(requests.takeDue(699, 1500).empty());
  EXPECT_EQ(exchangesOf(requests.takeDue(700, 1500)), (Exchanges{2}));
}

TEST(ArrivedRequestsTest, RequestKeepsItsTimes) {
  ArrivedRequests requests;
  ArrivedRequest arrived = request(1);
  arrived.read_at = TimePoint(std::chrono::seconds(5));
  arrived.lateness = std::chrono::milliseconds(700);
  requests.add(arrived);
  const ArrivedRequest taken = requests.takeDue(1, 1).at(0);
  EXPECT_EQ(taken.read_at, arrived.read_at);
  EXPECT_EQ(taken.lateness, arrived.lateness);
}

}  // namespace
}  // namespace shedlever::test
