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
  TimePoint now_{std::chrono::seconds(100)};
  CrashEvidence evidence_;
};

TEST_F(CrashEvidenceTest, LossOfAllRequestsIsACrash) {
  send(2);
  evidence_.onEnded(server_, SentRequestEnd::ConnectionLost, now_);
  evidence_.onEnded(server_, SentRequestEnd::ConnectionLost, now_);
  EXPECT_TRUE(evidence_.lostAllRequests(server_, now_));
}

// A server that closes its listening socket and finishes its work must not count as crashed.
TEST_F(CrashEvidenceTest, ServerThatStillRunsARequestHasNotCrashed) {
  send(2);
  evidence_.onEnded(server_, SentRequestEnd::ConnectionLost, now_);
  EXPECT_FALSE(evidence_.lostAllRequests(server_, now_));
}

TEST_F(CrashEvidenceTest, ServerThatAnswersAfterALossHasNotCrashed) {
  send(2);
  evidence_.onEnded(server_, SentRequestEnd::ConnectionLost, now_);
  evidence_.onEnded(server_, SentRequestEnd::Answered, now_);
  EXPECT_FALSE(evidence_.lostAllRequests(server_, now_));
}

// Guards against keys that move from a server that is full: it had lost one answer long before it refused a connection.
TEST_F(CrashEvidenceTest, LossLongBeforeTheRefusalIsNoCrash) {
  send(1);
  evidence_.onEnded(server_, SentRequestEnd::ConnectionLost, now_);
  now_ += std::chrono::milliseconds(500);
  EXPECT_TRUE(evidence_.lostAllRequests(server_, now_));
  now_ += std::chrono::milliseconds(1);
  EXPECT_FALSE(evidence_.lostAllRequests(server_, now_));
}

// Guards against keys that move from a server that still works on requests whose clients have left.
TEST_F(CrashEvidenceTest, ServerThatMayRunAnAbandonedRequestHasNotCrashed) {
  send(2);
  evidence_.onEnded(server_, SentRequestEnd::Abandoned, now_);
  evidence_.onEnded(server_, SentRequestEnd::ConnectionLost, now_);
  EXPECT_FALSE(evidence_.lostAllRequests(server_, now_));
}

TEST_F(CrashEvidenceTest, AnswerAfterAnAbandonedRequestRestoresTheEvidence) {
  send(3);
  evidence_.onEnded(server_, SentRequestEnd::Abandoned, now_);
  evidence_.onEnded(server_, SentRequestEnd::Answered, now_);
  evidence_.onEnded(server_, SentRequestEnd::ConnectionLost, now_);
  EXPECT_TRUE(evidence_.lostAllRequests(server_, now_));
}

TEST_F(CrashEvidenceTest, NothingIsKnownOfAServerWithoutRequests) {
  EXPECT_FALSE(evidence_.lostAllRequests(server_, now_));
  send(2);
  evidence_.onEnded(server_, SentRequestEnd::NotReached, now_);
  evidence_.onEnded(server_, SentRequestEnd::Abandoned, now_);
  EXPECT_FALSE(evidence_.lostAllRequests(server_, now_));
}

TEST_F(CrashEvidenceTest, LossesOfAnEarlierInstanceSayNothingOfTheNextOne) {
  send(1);
  const InstanceId next{"i-2"};
  evidence_.onInstance(next);
  evidence_.onEnded(server_, SentRequestEnd::ConnectionLost, now_);
  EXPECT_FALSE(evidence_.lostAllRequests(next, now_));
  EXPECT_FALSE(evidence_.lostAllRequests(server_, now_));
}

}  // namespace
}  // namespace shedlever
