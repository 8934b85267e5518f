/// @file
/// Large messages are written completely, in order and in pieces; an unlimited link writes them immediately.

#include "source/net/link_pacer.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "source/lab/sim/simulated_cluster.h"
#include "test/support/scripted_server.h"

namespace shedlever::test {
namespace {

LinkConfig linkOf(double bytes_per_second) {
  LinkConfig config;
  config.bytes_per_second = bytes_per_second;
  config.min_burst_bytes = 16U << 10U;
  return config;
}

class LinkPacerTest : public ::testing::Test {
 protected:
  /// @return a writer that appends the letter once for each byte.
  LinkPacer::Writer writer(char letter, std::size_t bytes) {
    return [this, letter, remaining = bytes](std::size_t max_bytes) mutable {
      const std::size_t size = std::min(max_bytes, remaining);
      remaining -= size;
      written_.append(size, letter);
      ++pieces_;
      return size;
    };
  }

  /// Advances the virtual time, so that the test does not depend on the load of the machine.
  bool runUntil(const std::function<bool()>& done) {
    return loop_.runUntil(
        [&] {
          clock_.runFor(std::chrono::milliseconds(1), [] {});
          return done();
        },
        kTestTimeout);
  }
  bool runUntilWritten(std::size_t bytes) {
    return runUntil([&] { return written_.size() >= bytes; });
  }

  EventLoop loop_;
  sim::VirtualTime clock_;
  std::string written_;
  int pieces_ = 0;
};

TEST_F(LinkPacerTest, UnlimitedLinkWritesImmediately) {
  LinkPacer pacer(loop_, clock_, linkOf(0));
  pacer.start(1'000'000, writer('a', 1'000'000));
  EXPECT_EQ(written_.size(), 1'000'000U);
  EXPECT_EQ(pieces_, 1);
  EXPECT_EQ(pacer.backlogBytes(), 0U);
  EXPECT_EQ(pacer.transmissionTime(1e6), Duration::zero());
}

TEST_F(LinkPacerTest, SlowLinkWritesMessagesInPiecesAndInOrder) {
  LinkPacer pacer(loop_, clock_, linkOf(4e6));
  pacer.start(100'000, writer('a', 100'000));
  pacer.start(50'000, writer('b', 50'000));
  EXPECT_LT(written_.size(), 100'000U);
  EXPECT_EQ(pacer.backlogBytes(), 150'000U - written_.size());
  EXPECT_GT(pacer.transmissionTime(0), Duration::zero());
  ASSERT_TRUE(runUntilWritten(150'000));
  EXPECT_EQ(written_, std::string(100'000, 'a') + std::string(50'000, 'b'));
  EXPECT_GT(pieces_, 4);
  EXPECT_EQ(pacer.backlogBytes(), 0U);
}

TEST_F(LinkPacerTest, CancelledMessagesAreNotWritten) {
  LinkPacer pacer(loop_, clock_, linkOf(4e6));
  const TransferId first = pacer.start(1'000'000, writer('a', 1'000'000));
  const TransferId second = pacer.start(1'000'000, writer('b', 1'000'000));
  pacer.start(10, writer('c', 10));
  pacer.cancel(second);
  pacer.cancel(first);
  EXPECT_EQ(pacer.backlogBytes(), 10U);
  ASSERT_TRUE(runUntil([&] { return pacer.backlogBytes() == 0; }));
  EXPECT_EQ(written_.find('b'), std::string::npos);
  EXPECT_EQ(written_.substr(written_.size() - 10), std::string(10, 'c'));
}

TEST_F(LinkPacerTest, WriterThatReturnsZeroEndsItsMessage) {
  LinkPacer pacer(loop_, clock_, linkOf(4e6));
  pacer.start(1'000'000, [](std::size_t) { return std::size_t{0}; });
  pacer.start(10, writer('c', 10));
  EXPECT_EQ(written_, std::string(10, 'c'));
  EXPECT_EQ(pacer.backlogBytes(), 0U);
}

TEST_F(LinkPacerTest, StatesItsBandwidthWhereItIsLimited) {
  EXPECT_EQ(LinkPacer(loop_, clock_, linkOf(1'250'000)).kilobytesPerSecond(), 1250U);
  EXPECT_EQ(LinkPacer(loop_, clock_, linkOf(10)).kilobytesPerSecond(), 1U) << "0 would mean that it is not limited";
  EXPECT_EQ(LinkPacer(loop_, clock_, linkOf(0)).kilobytesPerSecond(), 0U);
}

}  // namespace
}  // namespace shedlever::test
