#include "source/core/router/routes/request_id_generator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace shedlever {
namespace {

RC_GTEST_PROP(RequestIdGenerator, IdsOfDifferentGatewaysAndIncarnationsDiffer,
              (const std::string& left_name, const std::string& right_name, std::uint64_t left_incarnation,
               std::uint64_t right_incarnation, std::uint64_t number)) {
  const RequestIdGenerator left({NodeName(left_name), {left_incarnation}});
  const RequestIdGenerator right({NodeName(right_name), {right_incarnation}});
  const RequestSequence sequence = number | 1U;
  const RequestId id = left.idOf(sequence);
  RC_ASSERT(left.sequenceOf(id) == sequence);
  const bool is_same_incarnation = left_name == right_name && left_incarnation == right_incarnation;
  RC_ASSERT((right.sequenceOf(id) == sequence) == is_same_incarnation);
  RC_ASSERT((right.idOf(sequence) == id) == is_same_incarnation);
  RC_ASSERT(id.value.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~") ==
            std::string::npos);
}

TEST(RequestIdGenerator, OnlyTheCanonicalSpellingIsAccepted) {
  RequestIdGenerator ids({NodeName("gw-1"), {0x1f}});
  EXPECT_EQ(ids.idOf(ids.next()).value, "gw-1-1f-1");
  EXPECT_EQ(ids.idOf(ids.next()).value, "gw-1-1f-2");
  for (const char* const wrong : {"", "gw-1-1f-", "gw-1-1f-01", "gw-1-1f-A", "gw-1-1f-1 ", "gw-1-1f-+1", "gw-1-1e-1",
                                  "gw-1-1f-10000000000000000", "x"}) {
    EXPECT_FALSE(ids.sequenceOf(RequestId(wrong))) << wrong;
  }
}

}  // namespace
}  // namespace shedlever
