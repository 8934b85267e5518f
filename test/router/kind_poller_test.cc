/// @file
/// Tests that a poller lists its kind while objects are missing or outdated, and not more often. The intervals are
/// tested by `ListScheduleTest`.

#include "source/router/kind_poller.h"

#include <gtest/gtest.h>

#include "source/net/system_clock_and_random.h"
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

  /// Runs until the store has received this number of list requests.
  bool runUntilLists(std::size_t count) {
    return loop_.runUntil([&] { return store_.lists.size() >= count; }, kTestTimeout);
  }

  /// Runs the event loop longer than all intervals except the idle one.
  void runAllTimers() {
    bool elapsed = false;
    loop_.runAfter(milliseconds(60), [&] { elapsed = true; });
    loop_.runUntil([&] { return elapsed; }, kTestTimeout);
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

TEST_F(KindPollerTest, ListsAgainWhileNewerObjectIsKnownToExist) {
  answer({{"a", 5, "{}"}});
  poller_.scheduleNextList();
  runAllTimers();
  EXPECT_EQ(store_.lists.size(), 1U);
  need_ = ListNeed::Newer;
  poller_.scheduleNextList();
  poller_.scheduleNextList();
  ASSERT_TRUE(runUntilLists(2));
  need_ = ListNeed::Nothing;
  answer({{"a", 8, "{}"}});
  runAllTimers();
  EXPECT_EQ(store_.lists.size(), 2U);
  EXPECT_EQ(seen_, (std::vector<StoreRevision>{5, 8}));
}

TEST_F(KindPollerTest, NeedThatArisesDuringListCausesAnotherList) {
  need_ = ListNeed::Newer;
  poller_.scheduleNextList();
  answer({{"a", 5, "{}"}});
  EXPECT_TRUE(runUntilLists(2));
}

TEST_F(KindPollerTest, ScheduledListIsCancelledWhenNeedEnds) {
  answer({{"a", 5, "{}"}});
  need_ = ListNeed::Newer;
  poller_.scheduleNextList();
  need_ = ListNeed::Nothing;
  poller_.scheduleNextList();
  runAllTimers();
  EXPECT_EQ(store_.lists.size(), 1U);
}

TEST_F(KindPollerTest, ListWithoutKnownNewerObjectMayBeStale) {
  answer({});
  ASSERT_TRUE(runUntilLists(2));
  EXPECT_EQ(store_.freshness_of_lists, (std::deque<ListFreshness>{ListFreshness::Latest, ListFreshness::MayBeStale}));
}

TEST_F(KindPollerTest, ListsAgainSoonAfterEmptyList) {
  answer({});
  EXPECT_EQ(listed_, 1);
  EXPECT_TRUE(runUntilLists(2));
}

// With several keyed services the first list may contain only some of the tables.
TEST_F(KindPollerTest, ListsAgainSoonWhileAnObjectIsMissing) {
  need_ = ListNeed::Missing;
  answer({{"a", 5, "{}"}});
  ASSERT_TRUE(runUntilLists(2));
  need_ = ListNeed::Nothing;
  answer({{"a", 5, "{}"}, {"b", 6, "{}"}});
  runAllTimers();
  EXPECT_EQ(store_.lists.size(), 2U);
}

TEST_F(KindPollerTest, ListsSoonWhenAnObjectBecomesMissing) {
  answer({{"a", 5, "{}"}});
  poller_.scheduleNextList();
  runAllTimers();
  EXPECT_EQ(store_.lists.size(), 1U);
  need_ = ListNeed::Missing;
  poller_.scheduleNextList();
  EXPECT_TRUE(runUntilLists(2));
}

TEST_F(KindPollerTest, RetriesWhenTheStoreIsUnavailable) {
  answer({}, false);
  EXPECT_EQ(listed_, 0);
  ASSERT_TRUE(runUntilLists(2));
  answer({{"a", 5, "{}"}});
  EXPECT_EQ(available_, (std::vector<bool>{false, true}));
}

}  // namespace
}  // namespace shedlever::test
