/// @file
/// The way of a request through recorded logs.

#include "source/core/operators/request_trace.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

LogLine line(const std::string& node, const std::string& text) { return parseLogLine(node, text).value_or(LogLine{}); }

TEST(RequestTraceTest, ReadsLinesWithQuotesAndWhatCollectorsPutBefore) {
  const LogLine read =
      line("a", "  12.5 host-1 ownership: event=\"release begun\" at_ms=17 t_us=5 detail=\"a \\\"b\\\" c\" x=\"\"");
  EXPECT_EQ(read.part, "ownership");
  EXPECT_EQ(read.event, "release begun");
  EXPECT_EQ(read.at_ms, 17);
  EXPECT_EQ(read.field("detail"), "a \"b\" c");
  EXPECT_EQ(read.field("x"), "");
  EXPECT_FALSE(parseLogLine("a", "listen on TCP 127.0.0.1:1: Address already in use"));
  EXPECT_FALSE(parseLogLine("a", ""));
}

std::vector<LogLine> logs() {
  return {
      line("a", "gateway: event=refused at_ms=10000 t_us=1 id=r1 status=503 node=b reason=not-owner held_ms=75"),
      line("a", "store: event=lost at_ms=9000 t_us=1"),
      line("a", "store: event=lost at_ms=100 t_us=1"),
      line("b", "router: event=start at_ms=8500 t_us=99999 node=b"),
      line("c", "router: event=start at_ms=8600 t_us=1 node=c"),
      line("a", "gateway: event=answered at_ms=9900 t_us=1 id=r2 status=200 node=b reason=none held_ms=7"),
  };
}

TEST(RequestTraceTest, ShowsTheRequestAmongWhatItsNodesBelieved) {
  const std::vector<TraceStep> steps = traceRequest(logs(), "r1");
  ASSERT_EQ(steps.size(), 3U);
  EXPECT_EQ(steps[0].line.node, "b");
  EXPECT_EQ(steps[1].line.event, "lost");
  EXPECT_EQ(
      steps[2].meaning,
      "refused with status 503 after 75 ms: the key was another server's by then; it has not run; tried last at b");
}

TEST(RequestTraceTest, UnknownRequestHasNoWay) { EXPECT_TRUE(traceRequest(logs(), "r9").empty()); }

}  // namespace
}  // namespace shedlever::test
