/// @file
/// Encoding and decoding of the frames between router processes.

#include "source/net/router_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace shedlever::test {
namespace {

RouterFrame decodedOrHello(const std::string& bytes) {
  return leaf::try_handle_all([&] { return decodeRouterFrame(bytes); }, [] { return RouterFrame(HelloFrame{}); });
}

bool decodes(const std::string& bytes) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(decodeRouterFrame(bytes));
        return true;
      },
      [] { return false; });
}

ForwardFrame sampleForward() {
  ForwardFrame frame;
  frame.exchange = 7;
  frame.id = RequestId("id-1");
  frame.instance = InstanceId("i-1");
  frame.kind = RouteKind::Download;
  frame.priority = 2;
  frame.keyed = true;
  frame.key = 65535;
  frame.remaining_us = 1'234'567;
  frame.target_us = 300'000;
  frame.elapsed_us = 40'000;
  frame.caller = ServiceName("maps");
  frame.http = {"GET", "/a?b", {{"Host", "h"}}, "body"};
  return frame;
}

TEST(RouterCodecTest, DecodesAnEncodedForwardFrame) {
  const RouterFrame decoded = decodedOrHello(encodeRouterFrame(sampleForward()));
  const auto* frame = std::get_if<ForwardFrame>(&decoded);
  ASSERT_NE(frame, nullptr);
  EXPECT_EQ(frame->exchange, 7U);
  EXPECT_EQ(frame->kind, RouteKind::Download);
  EXPECT_EQ(frame->key, 65535);
  EXPECT_EQ(frame->remaining_us, 1'234'567);
  EXPECT_EQ(frame->elapsed_us, 40'000);
  EXPECT_EQ(frame->http.target, "/a?b");
  EXPECT_EQ(frame->http.headers, (std::vector<HttpHeader>{{"Host", "h"}}));
}

TEST(RouterCodecTest, DecodesAnEncodedReplyWithItsHint) {
  ForwardReplyFrame reply;
  reply.outcome = ForwardOutcome::NotRun;
  reply.reason = ForwardReason::NotOwner;
  reply.load = {3, 4, 5};
  reply.known.config = {9, 12, 1500};
  reply.hint = {11, 100, 199, InstanceId("i-9"), NodeName("n-9")};
  const RouterFrame decoded = decodedOrHello(encodeRouterFrame(reply));
  const auto* frame = std::get_if<ForwardReplyFrame>(&decoded);
  ASSERT_NE(frame, nullptr);
  EXPECT_EQ(frame->reason, ForwardReason::NotOwner);
  EXPECT_EQ(frame->load.queued, 4U);
  EXPECT_EQ(frame->known.config.revision, 9U);
  EXPECT_EQ(frame->known.config.synced_revision, 12U);
  EXPECT_EQ(frame->known.config.staleness_us, 1500);
  EXPECT_EQ(frame->hint.owner.value, "i-9");
  EXPECT_EQ(frame->hint.last, 199);
}

TEST(RouterCodecTest, TruncatedFramesAndTrailingBytesAreRejected) {
  const std::string whole = encodeRouterFrame(sampleForward());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    EXPECT_FALSE(decodes(whole.substr(0, size))) << size;
  }
  EXPECT_FALSE(decodes(whole + "x"));
}

TEST(RouterCodecTest, UnknownEnumerationValuesAreRejected) {
  ForwardReplyFrame reply;
  reply.reason = static_cast<ForwardReason>(static_cast<int>(kLastForwardReason) + 1);
  EXPECT_FALSE(decodes(encodeRouterFrame(reply)));
  reply.reason = kLastForwardReason;
  EXPECT_TRUE(decodes(encodeRouterFrame(reply)));
  ForwardFrame forward = sampleForward();
  forward.kind = static_cast<RouteKind>(9);
  EXPECT_FALSE(decodes(encodeRouterFrame(forward)));
}

RC_GTEST_PROP(RouterCodecProperty, ArbitraryBytesAreDecodedOrRejected, (const std::string& bytes)) { decodes(bytes); }

}  // namespace
}  // namespace shedlever::test
