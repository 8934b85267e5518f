#include "source/core/router/directory/crash_evidence.h"

#include <gtest/gtest.h>

namespace shedlever {
namespace {

class CrashEvidenceTest : public ::testing::Test {
 protected:
  void SetUp() override { evidence_.onInstance(server_); }

  void send(int requests) {
    for (int i = 0; i < requests; ++i) {
      evidence_.onSent(server_);
    }
  }

  const InstanceId server_{"i-1"};
  CrashEvidence evidence_;
};

TEST_F(CrashEvidenceTest, LossOfAllRequestsIsACrash) {
  send(2);
  evidence_.onEnded(server_, SentRequestEnd::ConnectionLost);
  evidence_.onEnded(server_, SentRequestEnd::ConnectionLost);
  EXPECT_TRUE(evidence_.lostAllRequests(server_));
}

// A server that closes its listening socket and finishes its work must not count as crashed.
TEST_F(CrashEvidenceTest, ServerThatStillRunsARequestHasNotCrashed) {
  send(2);
  evidence_.onEnded(server_, SentRequestEnd::ConnectionLost);
  EXPECT_FALSE(evidence_.lostAllRequests(server_));
}

TEST_F(CrashEvidenceTest, ServerThatAnswersAfterALossHasNotCrashed) {
  send(2);
  evidence_.onEnded(server_, SentRequestEnd::ConnectionLost);
  evidence_.onEnded(server_, SentRequestEnd::Answered);
  EXPECT_FALSE(evidence_.lostAllRequests(server_));
}

TEST_F(CrashEvidenceTest, NothingIsKnownOfAServerWithoutRequests) {
  EXPECT_FALSE(evidence_.lostAllRequests(server_));
  send(2);
  evidence_.onEnded(server_, SentRequestEnd::NotReached);
  evidence_.onEnded(server_, SentRequestEnd::Abandoned);
  EXPECT_FALSE(evidence_.lostAllRequests(server_));
}

TEST_F(CrashEvidenceTest, LossesOfAnEarlierInstanceSayNothingOfTheNextOne) {
  send(1);
  const InstanceId next{"i-2"};
  evidence_.onInstance(next);
  evidence_.onEnded(server_, SentRequestEnd::ConnectionLost);
  EXPECT_FALSE(evidence_.lostAllRequests(next));
  EXPECT_FALSE(evidence_.lostAllRequests(server_));
}

}  // namespace
}  // namespace shedlever
