/// @file
/// Quarantine of requests that crash servers.

#include "source/core/router/quarantine/crash_quarantine.h"

#include <gtest/gtest.h>

#include <random>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(10)};
constexpr RequestFingerprint kFatal{1, 1};
constexpr RequestFingerprint kBystander{2, 2};
constexpr RequestFingerprint kOther{3, 3};

ServerCrashId crashId(const std::string& instance, std::uint64_t seen_at_us = 1) {
  return {InstanceId(instance), seen_at_us};
}

std::uint64_t microsecondsOf(TimePoint time) { return static_cast<std::uint64_t>(time.time_since_epoch().count()); }

class CrashQuarantineTest : public ::testing::Test {
 protected:
  ServerCrashesFrame crash(const std::string& instance, const std::vector<RequestFingerprint>& unanswered) {
    now_ += milliseconds(100);
    return quarantine_.onLocalCrash(crashId(instance), unanswered, now_);
  }

  bool isQuarantined(const RequestFingerprint& request) const {
    return quarantine_.remainingTime(request, now_).has_value();
  }

  CrashQuarantine quarantine_{{}};
  TimePoint now_ = kStart;
};

TEST_F(CrashQuarantineTest, SingleCrashQuarantinesNothing) {
  crash("i-1", {kFatal});
  EXPECT_FALSE(isQuarantined(kFatal));
  EXPECT_FALSE(quarantine_.isActive());
}

TEST_F(CrashQuarantineTest, CrashThatListsARequestTwiceCountsOnce) {
  quarantine_.merge({{{crashId("i-1"), 0, {kFatal, kFatal, kFatal}}}, {}}, now_);
  EXPECT_FALSE(quarantine_.isActive());
}

TEST_F(CrashQuarantineTest, SoleRequestUnansweredAtTwoCrashesIsQuarantined) {
  crash("i-1", {kFatal, kBystander});
  crash("i-2", {kFatal, kOther});
  EXPECT_TRUE(isQuarantined(kFatal));
  EXPECT_FALSE(isQuarantined(kBystander));
  EXPECT_FALSE(isQuarantined(kOther));
  EXPECT_TRUE(quarantine_.isActive());
}

// A harmless request that was lost with the fatal one is retried too and may meet it again at the next server.
TEST_F(CrashQuarantineTest, ThirdCrashDecidesBetweenTwoRequestsUnansweredAtTwoCrashes) {
  crash("i-1", {kFatal, kBystander});
  crash("i-2", {kFatal, kBystander});
  EXPECT_FALSE(quarantine_.isActive());
  crash("i-3", {kFatal});
  EXPECT_TRUE(isQuarantined(kFatal));
  EXPECT_FALSE(isQuarantined(kBystander));
}

TEST_F(CrashQuarantineTest, AnsweredRequestIsClearedOfEarlierCrashes) {
  crash("i-1", {kFatal});
  quarantine_.onServed(kFatal, microsecondsOf(now_), now_ + milliseconds(1));
  crash("i-2", {kFatal});
  EXPECT_FALSE(isQuarantined(kFatal));
  crash("i-3", {kFatal});
  EXPECT_TRUE(isQuarantined(kFatal));
}

TEST_F(CrashQuarantineTest, ClearingOneSuspectQuarantinesTheRemainingOne) {
  crash("i-1", {kFatal, kBystander});
  crash("i-2", {kFatal, kBystander});
  quarantine_.onServed(kBystander, microsecondsOf(now_), now_ + milliseconds(1));
  EXPECT_TRUE(isQuarantined(kFatal));
  EXPECT_FALSE(isQuarantined(kBystander));
}

TEST_F(CrashQuarantineTest, QuarantinedRequestThatIsAnsweredIsReleased) {
  crash("i-1", {kFatal});
  crash("i-2", {kFatal});
  ASSERT_TRUE(isQuarantined(kFatal));
  const ServerCrashesFrame message = quarantine_.onServed(kFatal, microsecondsOf(now_), now_ + milliseconds(1));
  EXPECT_EQ(message.served.size(), 1U);
  EXPECT_FALSE(isQuarantined(kFatal));
  EXPECT_FALSE(quarantine_.isActive());
}

// A server may restart with the same id.
TEST_F(CrashQuarantineTest, CrashesOfOneInstanceIdAreDistinguishedByTime) {
  quarantine_.onLocalCrash(crashId("i-1", 5), {kFatal}, now_);
  quarantine_.onLocalCrash(crashId("i-1", 5), {kFatal}, now_ + milliseconds(1));
  EXPECT_FALSE(isQuarantined(kFatal));
  quarantine_.onLocalCrash(crashId("i-1", 6), {kFatal}, now_ + milliseconds(2));
  EXPECT_TRUE(isQuarantined(kFatal));
}

TEST_F(CrashQuarantineTest, QuarantineEndsAfterItsDuration) {
  crash("i-1", {kFatal});
  crash("i-2", {kFatal});
  EXPECT_GT(*quarantine_.remainingTime(kFatal, now_), minutes(29));
  now_ += QuarantineConfig{}.duration + seconds(1);
  EXPECT_FALSE(isQuarantined(kFatal));
  EXPECT_TRUE(quarantine_.removeExpired(now_));
  EXPECT_FALSE(quarantine_.isActive());
  EXPECT_EQ(quarantine_.crashCount(), 0U);
}

TEST_F(CrashQuarantineTest, RecordAloneQuarantinesARequest) {
  quarantine_.onQuarantineRecord(kFatal, now_ + minutes(5), true, now_);
  EXPECT_TRUE(isQuarantined(kFatal));
  ASSERT_EQ(quarantine_.quarantined().size(), 1U);
  EXPECT_TRUE(quarantine_.quarantined().front().in_own_record);
  quarantine_.onServed(kFatal, microsecondsOf(now_), now_ + seconds(1));
  EXPECT_FALSE(isQuarantined(kFatal));
  quarantine_.onQuarantineRecord(kFatal, now_ + minutes(5), true, now_ + seconds(2));
  EXPECT_FALSE(isQuarantined(kFatal)) << "an old record came back";
}

// Guards against a quarantine without end from a record with an invalid time.
TEST_F(CrashQuarantineTest, RecordQuarantinesARequestForTheConfiguredDurationAtMost) {
  quarantine_.onQuarantineRecord(kFatal, now_ + std::chrono::hours(10000), false, now_);
  EXPECT_LE(*quarantine_.remainingTime(kFatal, now_), QuarantineConfig{}.duration);
  quarantine_.onQuarantineRecord(kOther, now_ - seconds(1), false, now_);
  EXPECT_FALSE(isQuarantined(kOther));
}

TEST_F(CrashQuarantineTest, PeersForwardOnlyCrashesThatShareASuspect) {
  const ServerCrashesFrame first = crash("i-1", {kFatal, kBystander});
  ASSERT_EQ(first.crashes.size(), 1U);
  const ServerCrashesFrame second = crash("i-2", {kFatal, kOther});
  EXPECT_EQ(second.crashes.size(), 2U);
  CrashQuarantine other{{}};
  EXPECT_TRUE(other.merge(first, now_).empty());
  EXPECT_EQ(other.merge(second, now_).crashes.size(), 2U);
  EXPECT_TRUE(other.merge(second, now_).empty()) << "repeated message";
  EXPECT_TRUE(other.remainingTime(kFatal, now_).has_value());
}

TEST_F(CrashQuarantineTest, SummaryGivesANewPeerTheFullState) {
  crash("i-1", {kFatal, kBystander});
  crash("i-2", {kFatal, kOther});
  quarantine_.onServed(kBystander, microsecondsOf(now_), now_);
  CrashQuarantine other{{}};
  other.merge(quarantine_.summary(now_ + seconds(2)), now_ + seconds(2));
  EXPECT_TRUE(other.remainingTime(kFatal, now_ + seconds(2)).has_value());
  EXPECT_FALSE(other.remainingTime(kBystander, now_ + seconds(2)).has_value());
}

// One process has served the request between two crashes that another process saw. It must report this as soon as the
// crashes count.
TEST_F(CrashQuarantineTest, ProcessThatServedASuspectClearsItAtPeersThatCountItsCrashes) {
  CrashQuarantine serving{{}};
  const ServerCrashesFrame first = crash("i-1", {kBystander});
  serving.merge(first, now_);
  EXPECT_TRUE(serving.onServed(kBystander, microsecondsOf(now_), now_ + milliseconds(10)).empty())
      << "no peer counts crashes yet";
  const ServerCrashesFrame second = crash("i-2", {kBystander});
  ASSERT_TRUE(isQuarantined(kBystander));
  const ServerCrashesFrame message = serving.merge(second, now_);
  quarantine_.merge(message, now_);
  EXPECT_FALSE(isQuarantined(kBystander));
}

TEST_F(CrashQuarantineTest, MemoryIsBounded) {
  constexpr std::uint64_t kMany = 2000;
  for (std::uint64_t i = 0; i < kMany; ++i) {
    std::vector<RequestFingerprint> unanswered;
    for (std::uint64_t j = 0; j < 300; ++j) {
      unanswered.push_back({i, j});
    }
    quarantine_.onLocalCrash(crashId("i-" + std::to_string(i)), unanswered, now_);
  }
  EXPECT_LE(quarantine_.crashCount(), 256U);
  EXPECT_LE(quarantine_.summary(now_).crashes.size(), 256U);
  EXPECT_LE(quarantine_.summary(now_).crashes.front().unanswered.size(), 128U);
}

// Messages arrive in any order and repeatedly; all processes must reach the same result.
TEST(CrashQuarantineProperty, OrderOfMessagesDoesNotMatter) {
  constexpr int kSeeds = 60;
  constexpr int kMessages = 12;
  for (int seed = 0; seed < kSeeds; ++seed) {
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    std::vector<ServerCrashesFrame> messages;
    const auto request = [&random] { return RequestFingerprint{0, random() % 6}; };
    for (int i = 0; i < kMessages; ++i) {
      const Duration::rep age = Duration(milliseconds(random() % 10000)).count();
      if (random() % 4 == 0) {
        messages.push_back({{}, {{request(), microsecondsOf(kStart - Duration(age)), age}}});
      } else {
        messages.push_back({{{crashId("i-" + std::to_string(i)), age, {request(), request()}}}, {}});
      }
    }
    // Crashes come first, because every process sends them before the served requests that clear them.
    std::stable_partition(messages.begin(), messages.end(),
                          [](const auto& message) { return !message.crashes.empty(); });
    const auto with_crashes =
        std::count_if(messages.begin(), messages.end(), [](const auto& message) { return !message.crashes.empty(); });
    std::vector<std::vector<RequestFingerprint>> results;
    for (int process = 0; process < 3; ++process) {
      CrashQuarantine quarantine{{}};
      for (const ServerCrashesFrame& message : messages) {
        quarantine.merge(message, kStart);
        quarantine.merge(message, kStart);
      }
      std::vector<RequestFingerprint> quarantined;
      for (const auto& entry : quarantine.quarantined()) {
        quarantined.push_back(entry.request);
      }
      results.push_back(quarantined);
      std::shuffle(messages.begin(), messages.begin() + with_crashes, random);
      std::shuffle(messages.begin() + with_crashes, messages.end(), random);
    }
    EXPECT_EQ(results[0], results[1]) << "seed " << seed;
    EXPECT_EQ(results[0], results[2]) << "seed " << seed;
  }
}

}  // namespace
}  // namespace shedlever::test
