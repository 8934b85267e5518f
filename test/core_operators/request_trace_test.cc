/// @file
/// Tracing one request through recorded logs.

#include "source/core/operators/request_trace.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

LogLine line(const std::string& node, const std::string& text) { return parseLogLine(node, text).value_or(LogLine{}); }

TEST(RequestTraceTest, ParsesQuotedValuesAndIgnoresCollectorPrefix) {
  const LogLine read =
      line("a", "  12.5 host-1 ownership: event=\"release begun\" at_ms=17 t_us=5 detail=\"a \\\"b\\\" c\" x=\"\"");
  EXPECT_EQ(read.component, "ownership");
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

TEST(RequestTraceTest, IncludesContextLinesOfInvolvedNodes) {
  const std::vector<TraceStep> steps = traceRequest(logs(), "r1");
  ASSERT_EQ(steps.size(), 3U);
  EXPECT_EQ(steps[0].line.node, "b");
  EXPECT_EQ(steps[1].line.event, "lost");
  EXPECT_EQ(steps[2].description,
            "refused with status 503 after 75 ms: the key was owned by another server; not run; last attempt at b");
}

TEST(RequestTraceTest, DescribesEachAttemptAndGateEvent) {
  const std::vector<LogLine> lines = {
      line("a", "gateway: event=refused at_ms=130 t_us=1 id=r1 status=503 node=c reason=server-down held_ms=30"),
      line("a",
           "gateway: event=attempt-ended at_ms=110 t_us=1 id=r1 next=try-another reason=overloaded node=b held_ms=10"),
      line("b", "gate: event=refused at_ms=105 t_us=7 id=r1 reason=overloaded running=18 slots=18 queued=40"),
      line("b", "gate: event=refused at_ms=106 t_us=7 id=r2 reason=overloaded running=18 slots=18 queued=41"),
      line("c", "gate: event=not-answered at_ms=128 t_us=9 id=r1 reason=connection-lost instance=i-1 ran_ms=12"),
  };
  const std::vector<TraceStep> steps = traceRequest(lines, "r1");
  ASSERT_EQ(steps.size(), 4U);
  EXPECT_EQ(
      steps[0].description,
      "not started here: the server's queue was too long, or the wait limit was reached; not run; 18 of 18 slots were "
      "in use, 40 requests were queued");
  EXPECT_EQ(
      steps[1].description,
      "returned from b after 10 ms: the server's queue was too long, or the wait limit was reached; not run; next: "
      "try-another");
  EXPECT_EQ(
      steps[2].description,
      "the server i-1 returned no complete response in 12 ms: the connection broke after the request was sent; it is "
      "unknown whether it ran");
  EXPECT_TRUE(steps[3].description.starts_with("refused with status 503"));
}

TEST(RequestTraceTest, OmitsLinesAboutUninvolvedPeers) {
  std::vector<LogLine> lines = logs();
  lines.push_back(line("a", "peer: event=lost at_ms=9500 t_us=1 node=c"));
  lines.push_back(line("a", "peer: event=lost at_ms=9600 t_us=1 node=b"));
  lines.push_back(line("a", "membership: event=node-changed at_ms=9700 t_us=1 node=c"));
  lines.push_back(line("a", "membership: event=watch-lost at_ms=9800 t_us=1"));
  const std::vector<TraceStep> steps = traceRequest(lines, "r1");
  ASSERT_EQ(steps.size(), 5U);
  EXPECT_EQ(steps[2].line.at_ms, 9600);
  EXPECT_EQ(steps[3].line.event, "watch-lost");
}

TEST(RequestTraceTest, DescribesRequestRefusedBeforeRouting) {
  const std::vector<TraceStep> steps = traceRequest(
      {line("a", "gateway: event=refused-at-once at_ms=5 t_us=1 id=r1 reason=unknown-service host=h target=/x")}, "r1");
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_EQ(steps[0].description, "refused immediately: no route of the active configuration matches the request");
}

TEST(RequestTraceTest, UnknownRequestHasEmptyTrace) { EXPECT_TRUE(traceRequest(logs(), "r9").empty()); }

}  // namespace
}  // namespace shedlever::test
