/// @file
/// Requests in parts are complete with their last part. Guards against parts of requests that never end, which would
/// fill the memory of the process.

#include "source/core/router/link/request_assembler.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

constexpr RequestAssembler::StreamId kStream = 1;
constexpr RequestAssembler::StreamId kOtherStream = 2;

RequestAssemblerConfig config() {
  RequestAssemblerConfig made;
  made.max_stream_bytes = 10;
  made.max_total_bytes = 15;
  return made;
}

class RequestAssemblerTest : public ::testing::Test {
 protected:
  PartVerdict add(RequestAssembler::StreamId stream, ExchangeId exchange, std::size_t bytes, bool last = false) {
    return assembler_.add(stream, {exchange, std::string(bytes, 'x'), last}).verdict;
  }

  RequestAssembler assembler_{config()};
};

TEST_F(RequestAssemblerTest, InterleavedPartsOfTwoRequestsAreAssembledSeparately) {
  EXPECT_EQ(assembler_.add(kStream, {1, "ab", false}).verdict, PartVerdict::Incomplete);
  EXPECT_EQ(assembler_.add(kStream, {2, "12", false}).verdict, PartVerdict::Incomplete);
  EXPECT_EQ(assembler_.heldBytes(), 4U);
  const PartResult first = assembler_.add(kStream, {1, "c", true});
  EXPECT_EQ(first.verdict, PartVerdict::Complete);
  EXPECT_EQ(first.bytes, "abc");
  EXPECT_EQ(assembler_.add(kStream, {2, "", true}).bytes, "12");
  EXPECT_EQ(assembler_.heldBytes(), 0U);
}

TEST_F(RequestAssemblerTest, RequestBeyondTheLimitOfItsStreamIsRefusedOnceAndItsOtherPartsAreIgnored) {
  EXPECT_EQ(add(kStream, 1, 6), PartVerdict::Incomplete);
  EXPECT_EQ(add(kStream, 2, 4), PartVerdict::Incomplete);
  EXPECT_EQ(add(kStream, 1, 1), PartVerdict::Refused);
  EXPECT_EQ(assembler_.heldBytes(), 4U);
  EXPECT_EQ(add(kStream, 1, 1), PartVerdict::Ignored);
  EXPECT_EQ(add(kStream, 1, 1, true), PartVerdict::Ignored);
  EXPECT_EQ(add(kStream, 2, 4, true), PartVerdict::Complete);
}

TEST_F(RequestAssemblerTest, LimitOfTheProcessHoldsForAllStreamsTogether) {
  EXPECT_EQ(add(kStream, 1, 10), PartVerdict::Incomplete);
  EXPECT_EQ(add(kOtherStream, 1, 6), PartVerdict::Refused);
  assembler_.onStreamEnd(kStream);
  EXPECT_EQ(assembler_.heldBytes(), 0U);
  EXPECT_EQ(add(kOtherStream, 2, 10), PartVerdict::Incomplete);
}

TEST_F(RequestAssemblerTest, CancelledRequestIsDropped) {
  EXPECT_EQ(add(kStream, 1, 6), PartVerdict::Incomplete);
  assembler_.drop(kStream, 1);
  assembler_.drop(kStream, 1);
  assembler_.drop(kOtherStream, 1);
  EXPECT_EQ(assembler_.heldBytes(), 0U);
}

}  // namespace
}  // namespace shedlever::test
