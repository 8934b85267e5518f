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

OwnerTableDeltaFrame sampleDelta() {
  OwnerTableDeltaFrame delta;
  delta.name = "owners-maps";
  delta.base = {1, 900};
  delta.revision = {2, 7};
  delta.last_token = (std::uint64_t{2} << 32U) + 5;
  delta.epoch = 2;
  delta.changes = 31;
  delta.owners = {{InstanceId("i-9"), NodeName("n-9")}};
  delta.ranges = {{0, 99, 1, 17, "state", true, 12}, {100, 65535, 0, 18, {}, false, 0}};
  delta.checksum = 0xFEDC'BA98'7654'3210;
  return delta;
}

TEST(RouterCodecTest, DecodesAnEncodedTableRequestAndDelta) {
  const RouterFrame request = decodedOrHello(encodeRouterFrame(OwnerTableRequestFrame{{2, 6}, {0, 65535, 300}}));
  const auto* decoded_request = std::get_if<OwnerTableRequestFrame>(&request);
  ASSERT_NE(decoded_request, nullptr);
  EXPECT_EQ(decoded_request->known, (StoreRevision{2, 6}));
  EXPECT_EQ(decoded_request->digest, (OwnerTableDigest{0, 65535, 300}));
  const RouterFrame decoded = decodedOrHello(encodeRouterFrame(sampleDelta()));
  const auto* delta = std::get_if<OwnerTableDeltaFrame>(&decoded);
  ASSERT_NE(delta, nullptr);
  EXPECT_EQ(delta->name, "owners-maps");
  EXPECT_EQ(delta->base, (StoreRevision{1, 900}));
  EXPECT_EQ(delta->revision, (StoreRevision{2, 7}));
  EXPECT_EQ(delta->last_token, (std::uint64_t{2} << 32U) + 5);
  EXPECT_EQ(delta->epoch, 2U);
  EXPECT_EQ(delta->changes, 31U);
  EXPECT_EQ(delta->checksum, 0xFEDC'BA98'7654'3210);
  ASSERT_EQ(delta->owners.size(), 1U);
  EXPECT_EQ(delta->owners.front().node.value, "n-9");
  ASSERT_EQ(delta->ranges.size(), 2U);
  EXPECT_EQ(delta->ranges.front().handover, "state");
  EXPECT_TRUE(delta->ranges.front().releasing);
  EXPECT_EQ(delta->ranges.front().rate, 12U);
  EXPECT_EQ(delta->ranges.back().last, 65535);
}

TEST(RouterCodecTest, TruncatedFramesAndTrailingBytesAreRejected) {
  for (const RouterFrame& frame : {RouterFrame(sampleForward()), RouterFrame(sampleDelta())}) {
    const std::string whole = encodeRouterFrame(frame);
    for (std::size_t size = 0; size < whole.size(); ++size) {
      EXPECT_FALSE(decodes(whole.substr(0, size))) << size;
    }
    EXPECT_FALSE(decodes(whole + "x"));
  }
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

std::optional<RouterFrame> decodedIn(const std::string& bytes, WireVersion version) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<RouterFrame>> {
        BOOST_LEAF_AUTO(frame, decodeRouterFrame(bytes, version));
        return std::optional<RouterFrame>(std::move(frame));
      },
      [] { return std::optional<RouterFrame>(); });
}

// Guards against builds that can't exchange requests: a table request of version 5 has no digest.
TEST(RouterCodecTest, TableRequestIsEncodedForEachVersion) {
  const OwnerTableRequestFrame request{{2, 6}, {0, 65535, 300}};
  const std::string old_bytes = encodeRouterFrame(request, 5);
  EXPECT_LT(old_bytes.size(), encodeRouterFrame(request, 6).size());
  const auto decoded = decodedIn(old_bytes, 5);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(std::get<OwnerTableRequestFrame>(*decoded).known, request.known);
  EXPECT_TRUE(std::get<OwnerTableRequestFrame>(*decoded).digest.empty());
  EXPECT_FALSE(decodedIn(old_bytes, 6).has_value());
}

TEST(RouterCodecTest, FramesOfLaterVersionsAreNotKnownInEarlierOnes) {
  EXPECT_FALSE(isKnownIn(sampleDelta(), 5));
  EXPECT_TRUE(isKnownIn(sampleDelta(), 6));
  EXPECT_FALSE(decodedIn(encodeRouterFrame(sampleDelta(), 6), 5).has_value());
}

TEST(RouterCodecTest, ExtensibleVersionSkipsUnknownFieldsAndTakesAbsentOnesAsDefault) {
  const auto longer = decodedIn(encodeRouterFrame(sampleForward(), 7) + "a later field", 7);
  ASSERT_TRUE(longer.has_value());
  EXPECT_EQ(std::get<ForwardFrame>(*longer).http.body, "body");
  const auto shorter = decodedIn(encodeRouterFrame(OwnerTableRequestFrame{{2, 6}, {1}}, 5), 7);
  ASSERT_TRUE(shorter.has_value());
  EXPECT_TRUE(std::get<OwnerTableRequestFrame>(*shorter).digest.empty());
}

TEST(RouterCodecTest, ExtensibleVersionStillRejectsTruncatedFrames) {
  const std::string whole = encodeRouterFrame(sampleForward(), 7);
  for (std::size_t size = 0; size < whole.size(); ++size) {
    EXPECT_FALSE(decodedIn(whole.substr(0, size), 7).has_value()) << size;
  }
}

TEST(RouterCodecTest, ExtensibleVersionKnowsThatAKindOfFrameIsUnknown) {
  std::string bytes = encodeRouterFrame(PingFrame{}, 7);
  bytes[0] = 100;
  const auto decoded = decodedIn(bytes + "fields", 7);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_TRUE(std::holds_alternative<UnknownFrame>(*decoded));
  EXPECT_FALSE(decodedIn(bytes, 6).has_value());
}

// A value that only a later build knows must promise nothing: not that a request has not run, nor that it may run
// again.
TEST(RouterCodecTest, UnknownEnumerationValuesOfLaterBuildsPromiseNothing) {
  constexpr std::uint8_t kLater = 200;
  ForwardReplyFrame reply;
  reply.outcome = static_cast<ForwardOutcome>(kLater);
  reply.reason = static_cast<ForwardReason>(kLater);
  const auto decoded = decodedIn(encodeRouterFrame(reply, 7), 7);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(std::get<ForwardReplyFrame>(*decoded).outcome, ForwardOutcome::Unknown);
  EXPECT_EQ(std::get<ForwardReplyFrame>(*decoded).reason, ForwardReason::Unrecognized);
  ForwardFrame forward = sampleForward();
  forward.kind = static_cast<RouteKind>(kLater);
  const auto request = decodedIn(encodeRouterFrame(forward, 7), 7);
  ASSERT_TRUE(request.has_value());
  EXPECT_EQ(std::get<ForwardFrame>(*request).kind, RouteKind::AtMostOnce);
  ExchangeQueryReplyFrame state{7, static_cast<ExchangeState>(kLater)};
  const auto answer = decodedIn(encodeRouterFrame(state, 7), 7);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(std::get<ExchangeQueryReplyFrame>(*answer).state, ExchangeState::Answered);
}

RC_GTEST_PROP(RouterCodecProperty, ArbitraryBytesAreDecodedOrRejected, (const std::string& bytes)) {
  decodes(bytes);
  decodedIn(bytes, 5);
  decodedIn(bytes, kNewestWireVersion);
}

}  // namespace
}  // namespace shedlever::test
