/// @file
/// Format and rate limits of log lines, and a reader that does not read.

#include "source/router/event_log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>

#include "source/lab/sim/simulated_cluster.h"
#include "test/support/scripted_server.h"

namespace shedlever::test {
namespace {

class EventLogTest : public ::testing::Test {
 protected:
  EventLogTest() {
    std::array<int, 2> ends{};
    EXPECT_EQ(pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK), 0);
    read_end_ = ends[0];
    write_end_ = ends[1];
  }
  ~EventLogTest() override {
    close(read_end_);
    close(write_end_);
  }

  std::string written() {
    std::string text;
    std::array<char, 4096> bytes{};
    for (ssize_t size = read(read_end_, bytes.data(), bytes.size()); size > 0;
         size = read(read_end_, bytes.data(), bytes.size())) {
      text.append(bytes.data(), static_cast<std::size_t>(size));
    }
    return text;
  }

  int read_end_ = -1;
  int write_end_ = -1;
  EventLoop loop_;
  sim::VirtualTime time_;
};

TEST_F(EventLogTest, LineContainsTimesAndQuotesValues) {
  EventLog log(loop_, time_, write_end_);
  log.write("part", "some event", {{"id", "r1"}, {"text", "a \"b\"\nc"}, {"empty", ""}});
  log.flush();
  const std::string line = written();
  EXPECT_TRUE(line.starts_with("part: event=\"some event\" at_ms="));
  EXPECT_NE(line.find(" t_us=100000000 id=r1 text=\"a \\\"b\\\" c\" empty=\"\"\n"), std::string::npos) << line;
}

TEST_F(EventLogTest, RequestLinesOverTheRateLimitAreDroppedAndCounted) {
  EventLog log(loop_, time_, write_end_);
  int kept = 0;
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    kept += log.mayWriteFailed() ? 1 : 0;
  }
  EXPECT_EQ(kept, 100);
  EXPECT_EQ(log.droppedLines(), 900U);
  time_.runFor(std::chrono::milliseconds(500), [] {});
  for (int i = 0; i < kRequests; ++i) {
    kept += log.mayWriteFailed() ? 1 : 0;
  }
  EXPECT_EQ(kept, 150);
}

TEST_F(EventLogTest, FullPipeDropsLinesWithoutBlocking) {
  EventLog log(loop_, time_, write_end_);
  const std::string long_value(10000, 'x');
  for (int i = 0; i < 100; ++i) {
    log.write("part", "event", {{"value", long_value}});
    log.flush();
  }
  EXPECT_GT(log.droppedLines(), 0U);
}

}  // namespace
}  // namespace shedlever::test
