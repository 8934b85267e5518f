/// @file
/// Counts of the calls to the store, by which its load can be traced to a kind of object.

#include "source/router/store_call_counts.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include "source/net/system_clock_and_random.h"

namespace shedlever::test {
namespace {

TEST(StoreCallCountsTest, SumsCallsByKindAndMethod) {
  EventLoop loop;
  const BootTimeClock clock;
  EventLog log(loop, clock, dup(STDERR_FILENO));
  StoreCallCounts counts(log);
  EXPECT_EQ(counts.summary(), "");
  for (const char* method : {"watch", "check", "check"}) {
    counts.onCall("config", method, clock.now());
  }
  counts.onCall("a", "PUT", clock.now());
  EXPECT_EQ(counts.summary(), "a/PUT=1 config/check=2 config/watch=1");
}

}  // namespace
}  // namespace shedlever::test
