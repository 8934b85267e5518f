/// @file
/// Objects whose every change need not be seen are listed while some are lacking, and not more often than that. The
/// times between lists have tests of their own (`ListScheduleTest`).

#include "source/router/kind_poller.h"

#include <gtest/gtest.h>

#include "source/net/system_sources.h"
#include "test/support/scripted_server.h"
#include "test/support/scripted_store.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

class KindPollerTest : public ::testing::Test {
 protected:
  KindPollerTest() { poller_.start(); }

  static ListIntervals times() {
    return {milliseconds(40), std::chrono::hours(1), milliseconds(10), milliseconds(5), milliseconds(5)};
  }

  void answer(std::vector<MetadataObject> objects, bool available = true) {
    store_.lists.back().done({available, 1, std::move(objects)});
  }

  /// Runs until so many lists were asked for.
  bool runUntilLists(std::size_t count) {
    return loop_.runUntil([&] { return store_.lists.size() >= count; }, kTestCap);
  }

  /// Lets timers that are due run, up to the next one.
  void runOnce() {
    bool over = false;
    loop_.runAfter(milliseconds(60), [&] { over = true; });
    loop_.runUntil([&] { return over; }, kTestCap);
  }

  EventLoop loop_;
  BootTimeClock clock_;
  ScriptedStore store_;
  std::vector<StoreRevision> seen_;
  int listed_ = 0;
  std::vector<bool> available_;
  ListNeed need_ = ListNeed::Nothing;
  KindPoller poller_{loop_,
                     clock_,
                     store_,
                     "k",
                     times(),
                     {[this](const MetadataObject& object) { seen_.push_back(object.revision); }, [this] { ++listed_; },
                      [this](bool available) { available_.push_back(available); }, [this] { return need_; }}};
};

TEST_F(KindPollerTest, ListsAgainWhileSomethingNewerIsKnownToExist) {
  answer({{"a", 5, "{}"}});
  poller_.scheduleNextList();
  runOnce();
  EXPECT_EQ(store_.lists.size(), 1U);
  need_ = ListNeed::Newer;
  poller_.scheduleNextList();
  poller_.scheduleNextList();
  ASSERT_TRUE(runUntilLists(2));
  need_ = ListNeed::Nothing;
  answer({{"a", 8, "{}"}});
  runOnce();
  EXPECT_EQ(store_.lists.size(), 2U);
  EXPECT_EQ(seen_, (std::vector<StoreRevision>{5, 8}));
}

TEST_F(KindPollerTest, WhatIsSeenDuringAListIsNotForgotten) {
  need_ = ListNeed::Newer;
  poller_.scheduleNextList();
  answer({{"a", 5, "{}"}});
  EXPECT_TRUE(runUntilLists(2));
}

TEST_F(KindPollerTest, NothingIsListedOnceItHasComeAnotherWay) {
  answer({{"a", 5, "{}"}});
  need_ = ListNeed::Newer;
  poller_.scheduleNextList();
  need_ = ListNeed::Nothing;
  poller_.scheduleNextList();
  runOnce();
  EXPECT_EQ(store_.lists.size(), 1U);
}

TEST_F(KindPollerTest, ListsThatLookForNothingInParticularMayBeStale) {
  answer({});
  ASSERT_TRUE(runUntilLists(2));
  EXPECT_EQ(store_.freshness_of_lists, (std::deque<ListFreshness>{ListFreshness::Latest, ListFreshness::MayBeStale}));
}

TEST_F(KindPollerTest, LooksSoonForTheFirstObject) {
  answer({});
  EXPECT_EQ(listed_, 1);
  EXPECT_TRUE(runUntilLists(2));
}

// Seen: with several services divided by key, the first list held the first service's table alone, and the
// others were not looked for until the traffic began.
TEST_F(KindPollerTest, LooksSoonForAnObjectThatIsMissing) {
  need_ = ListNeed::Missing;
  answer({{"a", 5, "{}"}});
  ASSERT_TRUE(runUntilLists(2));
  need_ = ListNeed::Nothing;
  answer({{"a", 5, "{}"}, {"b", 6, "{}"}});
  runOnce();
  EXPECT_EQ(store_.lists.size(), 2U);
}

TEST_F(KindPollerTest, LooksSoonWhenToldThatOneMayBeMissing) {
  answer({{"a", 5, "{}"}});
  poller_.scheduleNextList();
  runOnce();
  EXPECT_EQ(store_.lists.size(), 1U);
  need_ = ListNeed::Missing;
  poller_.scheduleNextList();
  EXPECT_TRUE(runUntilLists(2));
}

TEST_F(KindPollerTest, AsksAgainWhenTheStoreDoesNotAnswer) {
  answer({}, false);
  EXPECT_EQ(listed_, 0);
  ASSERT_TRUE(runUntilLists(2));
  answer({{"a", 5, "{}"}});
  EXPECT_EQ(available_, (std::vector<bool>{false, true}));
}

}  // namespace
}  // namespace shedlever::test
