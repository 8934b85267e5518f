/// @file
/// Where requests were lost, as the logs of a run tell it.

#include "source/lab/losses/loss_table.h"

#include <gtest/gtest.h>

namespace shedlever::losses::test {
namespace {

class LossTableTest : public ::testing::Test {
 protected:
  void add(const std::string& text) {
    const auto line = parseLogLine("node", text);
    ASSERT_TRUE(line.has_value()) << text;
    table_.add(*line);
  }

  LossTable table_;
};

TEST_F(LossTableTest, CountsLossesBySecondRouteAndCause) {
  add("gateway: event=refused at_ms=5100 t_us=1 id=a status=503 route=read reason=overloaded");
  add("gateway: event=refused at_ms=5900 t_us=1 id=b status=503 route=read reason=overloaded");
  add("gateway: event=failed at_ms=7100 t_us=1 id=c status=502 route=write reason=connection-lost");
  add("gateway: event=answered at_ms=7200 t_us=1 id=d status=200 route=read reason=none");
  add("gate: event=refused at_ms=5100 t_us=1 id=a reason=overloaded running=4 queued=2");
  add("ownership: event=\"ranges moved to other\" at_ms=7300 t_us=1 detail=written");
  const OrderedJson seconds = table_.bySecond().json();
  ASSERT_EQ(seconds.size(), 2U);
  EXPECT_EQ(seconds[0].at("second"), "0");
  EXPECT_EQ(seconds[0].at("refused"), "2");
  EXPECT_EQ(seconds[0].at("gate overloaded"), "1");
  EXPECT_EQ(seconds[1].at("second"), "2");
  EXPECT_EQ(seconds[1].at("failed"), "1");
  EXPECT_EQ(seconds[1].at("moves"), "1");
  const OrderedJson causes = table_.byCause().json();
  ASSERT_EQ(causes.size(), 2U);
  EXPECT_EQ(causes[0].at("route"), "read");
  EXPECT_EQ(causes[0].at("reason"), "overloaded");
  EXPECT_EQ(causes[0].at("count"), "2");
}

TEST_F(LossTableTest, SumsCallsToTheStoreOverAllLines) {
  add("store: event=calls at_ms=5000 t_us=1 counts=leases/replace/done:3,tables/list/done:1");
  add("store: event=calls at_ms=9000 t_us=1 counts=leases/replace/done:4,broken");
  const OrderedJson calls = table_.storeCalls().json();
  ASSERT_EQ(calls.size(), 2U);
  EXPECT_EQ(calls[0].at("kind"), "leases");
  EXPECT_EQ(calls[0].at("verb"), "replace");
  EXPECT_EQ(calls[0].at("end"), "done");
  EXPECT_EQ(calls[0].at("count"), "7");
}

}  // namespace
}  // namespace shedlever::losses::test
