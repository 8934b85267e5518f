#include "source/net/event_loop.h"

#include <gtest/gtest.h>
#include <prometheus/counter.h>
#include <prometheus/registry.h>
#include <signal.h>

#include <string>

#include "source/net/metrics_text.h"
#include "source/net/system_clock_and_random.h"
#include "test/support/scripted_server.h"

namespace shedlever::test {
namespace {

TEST(EventLoopTest, CallbacksRunInOrderAndCancelledTimersDoNotRun) {
  EventLoop loop;
  std::string order;
  TimerId cancelled = 0;
  loop.runAfter(std::chrono::milliseconds(20), [&] {
    order += "d";
    loop.stop();
  });
  loop.runAfter(std::chrono::milliseconds(10), [&] {
    order += "c";
    loop.cancel(cancelled);
    loop.cancel(0);
  });
  cancelled = loop.runAfter(std::chrono::milliseconds(15), [&] { order += "x"; });
  loop.post([&] {
    order += "a";
    loop.post([&] { order += "b"; });
    EXPECT_EQ(order, "a") << "posted callbacks run from the loop only";
  });
  EXPECT_EQ(order, "");
  loop.run();
  EXPECT_EQ(order, "abcd");
}

TEST(EventLoopTest, SignalCallbacksRunFromTheLoop) {
  EventLoop loop;
  int received = 0;
  loop.onSignal(SIGTERM, [&] { ++received; });
  raise(SIGTERM);
  EXPECT_EQ(received, 0);
  EXPECT_TRUE(loop.runUntil([&] { return received == 1; }, kTestTimeout));
  raise(SIGTERM);
  EXPECT_TRUE(loop.runUntil([&] { return received == 2; }, kTestTimeout));
  EXPECT_FALSE(loop.runUntil([] { return false; }, Duration::zero()));
}

TEST(SystemClockAndRandomTest, ClocksAdvanceAndRandomNumbersDiffer) {
  const BootTimeClock clock;
  const TimePoint before = clock.now();
  EXPECT_GE(clock.now(), before);
  EXPECT_GT(wallClockMicroseconds(), 1700000000000000U);
  SystemRandom first;
  SystemRandom second;
  EXPECT_NE(first.next(), second.next());
}

TEST(MetricsTextTest, RegistryIsWrittenInPrometheusFormat) {
  prometheus::Registry registry;
  auto& family = prometheus::BuildCounter().Name("shedlever_requests_total").Help("Requests.").Register(registry);
  family.Add({{"outcome", "not-run"}}).Increment(3);
  EXPECT_EQ(metricsText(registry),
            "# HELP shedlever_requests_total Requests.\n# TYPE shedlever_requests_total counter\n"
            "shedlever_requests_total{outcome=\"not-run\"} 3\n");
}

}  // namespace
}  // namespace shedlever::test
