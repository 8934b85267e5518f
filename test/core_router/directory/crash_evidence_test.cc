#include "source/core/router/directory/crash_evidence.h"

#include <gtest/gtest.h>

namespace shedlever {
namespace {

class CrashEvidenceTest : public ::testing::Test {
 protected:
  void SetUp() override { evidence_.onInstance(kServer); }

  void send(int requests) {
    for (int i = 0; i < requests; ++i) {
      evidence_.onSent(kServer);
    }
  }

  const InstanceId kServer{"i-1"};
  CrashEvidence evidence_;
};

TEST_F(CrashEvidenceTest, LossOfAllRequestsIsACrash) {
  send(2);
  evidence_.onEnded(kServer, SentRequestEnd::ConnectionLost);
  evidence_.onEnded(kServer, SentRequestEnd::ConnectionLost);
  EXPECT_TRUE(evidence_.lostAllRequests(kServer));
}

// A server that closes its listening socket and finishes its work must not count as crashed.
TEST_F(CrashEvidenceTest, ServerThatStillRunsARequestHasNotCrashed) {
  send(2);
  evidence_.onEnded(kServer, SentRequestEnd::ConnectionLost);
  EXPECT_FALSE(evidence_.lostAllRequests(kServer));
}

TEST_F(CrashEvidenceTest, ServerThatAnswersAfterALossHasNotCrashed) {
  send(2);
  evidence_.onEnded(kServer, SentRequestEnd::ConnectionLost);
  evidence_.onEnded(kServer, SentRequestEnd::Answered);
  EXPECT_FALSE(evidence_.lostAllRequests(kServer));
}

TEST_F(CrashEvidenceTest, NothingIsKnownOfAServerWithoutRequests) {
  EXPECT_FALSE(evidence_.lostAllRequests(kServer));
  send(2);
  evidence_.onEnded(kServer, SentRequestEnd::NotReached);
  evidence_.onEnded(kServer, SentRequestEnd::Abandoned);
  EXPECT_FALSE(evidence_.lostAllRequests(kServer));
}

TEST_F(CrashEvidenceTest, LossesOfAnEarlierInstanceSayNothingOfTheNextOne) {
  send(1);
  const InstanceId next{"i-2"};
  evidence_.onInstance(next);
  evidence_.onEnded(kServer, SentRequestEnd::ConnectionLost);
  EXPECT_FALSE(evidence_.lostAllRequests(next));
  EXPECT_FALSE(evidence_.lostAllRequests(kServer));
}

}  // namespace
}  // namespace shedlever
