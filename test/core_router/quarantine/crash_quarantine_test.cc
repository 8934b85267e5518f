/// @file
/// Which requests are kept from servers, by the ends of servers that ran them.

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

ServerCrashId endOf(const std::string& instance, std::uint64_t seen_at_us = 1) {
  return {InstanceId(instance), seen_at_us};
}

std::uint64_t microsecondsOf(TimePoint time) { return static_cast<std::uint64_t>(time.time_since_epoch().count()); }

class CrashQuarantineTest : public ::testing::Test {
 protected:
  ServerCrashesFrame end(const std::string& instance, const std::vector<RequestFingerprint>& unanswered) {
    now_ += milliseconds(100);
    return quarantine_.onLocalCrash(endOf(instance), unanswered, now_);
  }

  bool isKeptBack(const RequestFingerprint& request) const {
    return quarantine_.remainingTime(request, now_).has_value();
  }

  CrashQuarantine quarantine_{{}};
  TimePoint now_ = kStart;
};

TEST_F(CrashQuarantineTest, OneEndProvesNothing) {
  end("i-1", {kFatal});
  EXPECT_FALSE(isKeptBack(kFatal));
  EXPECT_FALSE(quarantine_.isActive());
}

TEST_F(CrashQuarantineTest, EndThatNamesARequestTwiceIsOneEnd) {
  quarantine_.merge({{{endOf("i-1"), 0, {kFatal, kFatal, kFatal}}}, {}}, now_);
  EXPECT_FALSE(quarantine_.isActive());
}

TEST_F(CrashQuarantineTest, TwoEndsProveItOfTheOnlyRequestThatWasAtBoth) {
  end("i-1", {kFatal, kBystander});
  end("i-2", {kFatal, kOther});
  EXPECT_TRUE(isKeptBack(kFatal));
  EXPECT_FALSE(isKeptBack(kBystander));
  EXPECT_FALSE(isKeptBack(kOther));
  EXPECT_TRUE(quarantine_.isActive());
}

// What was lost beside it is repeated like itself, and meets it again at the next server.
TEST_F(CrashQuarantineTest, WhereTwoRequestsWereAtBothEndsAThirdDecides) {
  end("i-1", {kFatal, kBystander});
  end("i-2", {kFatal, kBystander});
  EXPECT_FALSE(quarantine_.isActive());
  end("i-3", {kFatal});
  EXPECT_TRUE(isKeptBack(kFatal));
  EXPECT_FALSE(isKeptBack(kBystander));
}

TEST_F(CrashQuarantineTest, AnsweredRequestIsClearedOfTheEndsBefore) {
  end("i-1", {kFatal});
  quarantine_.onServed(kFatal, microsecondsOf(now_), now_ + milliseconds(1));
  end("i-2", {kFatal});
  EXPECT_FALSE(isKeptBack(kFatal));
  end("i-3", {kFatal});
  EXPECT_TRUE(isKeptBack(kFatal));
}

TEST_F(CrashQuarantineTest, WhatIsClearedLeavesTheOtherAsTheOnlySuspect) {
  end("i-1", {kFatal, kBystander});
  end("i-2", {kFatal, kBystander});
  quarantine_.onServed(kBystander, microsecondsOf(now_), now_ + milliseconds(1));
  EXPECT_TRUE(isKeptBack(kFatal));
  EXPECT_FALSE(isKeptBack(kBystander));
}

TEST_F(CrashQuarantineTest, QuarantinedRequestThatIsAnsweredAfterAllIsFree) {
  end("i-1", {kFatal});
  end("i-2", {kFatal});
  ASSERT_TRUE(isKeptBack(kFatal));
  const ServerCrashesFrame news = quarantine_.onServed(kFatal, microsecondsOf(now_), now_ + milliseconds(1));
  EXPECT_EQ(news.served.size(), 1U);
  EXPECT_FALSE(isKeptBack(kFatal));
  EXPECT_FALSE(quarantine_.isActive());
}

// A server may start again under its id.
TEST_F(CrashQuarantineTest, EndsOfOneIdAreToldApartByTheirTime) {
  quarantine_.onLocalCrash(endOf("i-1", 5), {kFatal}, now_);
  quarantine_.onLocalCrash(endOf("i-1", 5), {kFatal}, now_ + milliseconds(1));
  EXPECT_FALSE(isKeptBack(kFatal));
  quarantine_.onLocalCrash(endOf("i-1", 6), {kFatal}, now_ + milliseconds(2));
  EXPECT_TRUE(isKeptBack(kFatal));
}

TEST_F(CrashQuarantineTest, EndsSomeTime) {
  end("i-1", {kFatal});
  end("i-2", {kFatal});
  EXPECT_GT(*quarantine_.remainingTime(kFatal, now_), minutes(29));
  now_ += QuarantineConfig{}.duration + seconds(1);
  EXPECT_FALSE(isKeptBack(kFatal));
  EXPECT_TRUE(quarantine_.removeExpired(now_));
  EXPECT_FALSE(quarantine_.isActive());
  EXPECT_EQ(quarantine_.crashCount(), 0U);
}

TEST_F(CrashQuarantineTest, RecordAloneKeepsItBack) {
  quarantine_.onQuarantineRecord(kFatal, now_ + minutes(5), true, now_);
  EXPECT_TRUE(isKeptBack(kFatal));
  ASSERT_EQ(quarantine_.quarantined().size(), 1U);
  EXPECT_TRUE(quarantine_.quarantined().front().in_own_record);
  quarantine_.onServed(kFatal, microsecondsOf(now_), now_ + seconds(1));
  EXPECT_FALSE(isKeptBack(kFatal));
  quarantine_.onQuarantineRecord(kFatal, now_ + minutes(5), true, now_ + seconds(2));
  EXPECT_FALSE(isKeptBack(kFatal)) << "an old record came back";
}

// A record that no process of this code wrote must not keep a request back for ever.
TEST_F(CrashQuarantineTest, RecordKeepsItBackForTheQuarantinesTimeAtMost) {
  quarantine_.onQuarantineRecord(kFatal, now_ + std::chrono::hours(10000), false, now_);
  EXPECT_LE(*quarantine_.remainingTime(kFatal, now_), QuarantineConfig{}.duration);
  quarantine_.onQuarantineRecord(kOther, now_ - seconds(1), false, now_);
  EXPECT_FALSE(isKeptBack(kOther));
}

TEST_F(CrashQuarantineTest, OthersAreToldOfEachEndAndPassOnOnlyWhatPointsAtOneRequest) {
  const ServerCrashesFrame first = end("i-1", {kFatal, kBystander});
  ASSERT_EQ(first.crashes.size(), 1U);
  const ServerCrashesFrame second = end("i-2", {kFatal, kOther});
  EXPECT_EQ(second.crashes.size(), 2U);
  CrashQuarantine other{{}};
  EXPECT_TRUE(other.merge(first, now_).empty());
  EXPECT_EQ(other.merge(second, now_).crashes.size(), 2U);
  EXPECT_TRUE(other.merge(second, now_).empty()) << "told twice";
  EXPECT_TRUE(other.remainingTime(kFatal, now_).has_value());
}

TEST_F(CrashQuarantineTest, ProcessThatHasJustStartedIsToldAll) {
  end("i-1", {kFatal, kBystander});
  end("i-2", {kFatal, kOther});
  quarantine_.onServed(kBystander, microsecondsOf(now_), now_);
  CrashQuarantine other{{}};
  other.merge(quarantine_.summary(now_ + seconds(2)), now_ + seconds(2));
  EXPECT_TRUE(other.remainingTime(kFatal, now_ + seconds(2)).has_value());
  EXPECT_FALSE(other.remainingTime(kBystander, now_ + seconds(2)).has_value());
}

// One gate has answered a request between two ends that other gates saw; only it knows. It says so once that counts.
TEST_F(CrashQuarantineTest, GateThatHasServedASuspectTellsOthersThatCountItsEnds) {
  CrashQuarantine served_it{{}};
  const ServerCrashesFrame first = end("i-1", {kBystander});
  served_it.merge(first, now_);
  EXPECT_TRUE(served_it.onServed(kBystander, microsecondsOf(now_), now_ + milliseconds(10)).empty())
      << "nobody counts yet";
  const ServerCrashesFrame second = end("i-2", {kBystander});
  ASSERT_TRUE(isKeptBack(kBystander));
  const ServerCrashesFrame news = served_it.merge(second, now_);
  quarantine_.merge(news, now_);
  EXPECT_FALSE(isKeptBack(kBystander));
}

TEST_F(CrashQuarantineTest, MemoryIsBounded) {
  constexpr std::uint64_t kMany = 2000;
  for (std::uint64_t i = 0; i < kMany; ++i) {
    std::vector<RequestFingerprint> unanswered;
    for (std::uint64_t j = 0; j < 300; ++j) {
      unanswered.push_back({i, j});
    }
    quarantine_.onLocalCrash(endOf("i-" + std::to_string(i)), unanswered, now_);
  }
  EXPECT_LE(quarantine_.crashCount(), 256U);
  EXPECT_LE(quarantine_.summary(now_).crashes.size(), 256U);
  EXPECT_LE(quarantine_.summary(now_).crashes.front().unanswered.size(), 128U);
}

// News come in any order, more than once, and by ways of different length: all processes judge alike in the end.
TEST(CrashQuarantineProperty, OrderOfNewsDoesNotMatter) {
  constexpr int kSeeds = 60;
  constexpr int kNews = 12;
  for (int seed = 0; seed < kSeeds; ++seed) {
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    std::vector<ServerCrashesFrame> news;
    const auto request = [&random] { return RequestFingerprint{0, random() % 6}; };
    for (int i = 0; i < kNews; ++i) {
      const Duration::rep age = Duration(milliseconds(random() % 10000)).count();
      if (random() % 4 == 0) {
        news.push_back({{}, {{request(), microsecondsOf(kStart - Duration(age)), age}}});
      } else {
        news.push_back({{{endOf("i-" + std::to_string(i)), age, {request(), request()}}}, {}});
      }
    }
    // Ends first, as every process tells them before what clears them of these.
    std::stable_partition(news.begin(), news.end(), [](const auto& one) { return !one.crashes.empty(); });
    const auto ends = std::count_if(news.begin(), news.end(), [](const auto& one) { return !one.crashes.empty(); });
    std::vector<std::vector<RequestFingerprint>> judged;
    for (int process = 0; process < 3; ++process) {
      CrashQuarantine quarantine{{}};
      for (const ServerCrashesFrame& one : news) {
        quarantine.merge(one, kStart);
        quarantine.merge(one, kStart);
      }
      std::vector<RequestFingerprint> named;
      for (const auto& one : quarantine.quarantined()) {
        named.push_back(one.request);
      }
      judged.push_back(named);
      std::shuffle(news.begin(), news.begin() + ends, random);
      std::shuffle(news.begin() + ends, news.end(), random);
    }
    EXPECT_EQ(judged[0], judged[1]) << "seed " << seed;
    EXPECT_EQ(judged[0], judged[2]) << "seed " << seed;
  }
}

}  // namespace
}  // namespace shedlever::test
