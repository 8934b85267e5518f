/// @file
/// Tests of list and watch of one kind of objects.

#include "source/router/kind_watcher.h"

#include <gtest/gtest.h>

#include "source/net/system_clock_and_random.h"
#include "test/support/manual_clock.h"
#include "test/support/scripted_server.h"
#include "test/support/scripted_store.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

class KindWatcherTest : public ::testing::Test {
 protected:
  KindWatcherTest()
      : watcher_(loop_, clock_, random_, store_,
                 {"things", milliseconds(1), stalenessLimitsFor(std::chrono::seconds(2))},
                 {[this](const MetadataObject& object, bool deleted) {
                    seen_.push_back((deleted ? "-" : "+") + object.name);
                  },
                  [this] { ++lists_read_; }, [this](bool available) { available_ = available; },
                  [this](ListCause cause, Duration) { causes_.push_back(cause); }, [this](Duration) { ++missed_; }}) {
    watcher_.start();
  }

  void answerList(StoreRevision at, std::vector<MetadataObject> objects) {
    const auto done = store_.lists.back().done;
    done({true, at, std::move(objects)});
  }

  void answerCheck(const WatchResult& answer) {
    const auto done = store_.checks.back().done;
    done(answer);
  }

  /// Advances the clock in the steps of the process's ticks.
  void advanceWithTicks(Duration time) {
    constexpr Duration kTick = milliseconds(50);
    for (Duration passed{}; passed < time; passed += kTick) {
      clock_.advance(kTick);
      watcher_.tick(kProcesses);
    }
  }

  static constexpr std::size_t kProcesses = 16;

  void answerWatch(const WatchResult& answer) {
    const auto done = store_.watches.back().done;
    done(answer);
  }

  bool runUntil(const std::function<bool()>& done) { return loop_.runUntil(done, kTestTimeout); }

  EventLoop loop_;
  /// Advanced by the tests; the timers of the event loop use real time.
  ManualClock clock_;
  SystemRandom random_;
  ScriptedStore store_;
  std::vector<std::string> seen_;
  int lists_read_ = 0;
  bool available_ = true;
  std::vector<ListCause> causes_;
  int missed_ = 0;
  KindWatcher watcher_;
};

TEST_F(KindWatcherTest, WatchStartsAtRevisionOfList) {
  answerList(7, {{"a", 5, "{}"}});
  EXPECT_EQ(seen_, std::vector<std::string>{"+a"});
  ASSERT_EQ(store_.watches.size(), 1U);
  EXPECT_EQ(store_.watches.back().object.revision, 7U);
  answerWatch({WatchStatus::Events, 9, {{false, {"b", 8, "{}"}}, {true, {"a", 9, "{}"}}}});
  EXPECT_EQ(seen_, (std::vector<std::string>{"+a", "+b", "-a"}));
  ASSERT_TRUE(runUntil([&] { return store_.watches.size() == 2; }));
  EXPECT_EQ(store_.watches.back().object.revision, 9U);
}

TEST_F(KindWatcherTest, ListsAgainWhenHistoryIsGone) {
  answerList(7, {});
  answerWatch({WatchStatus::HistoryGone, 0, {}});
  EXPECT_EQ(store_.lists.size(), 2U);
  answerList(20, {{"c", 15, "{}"}});
  EXPECT_EQ(seen_, std::vector<std::string>{"+c"});
  EXPECT_EQ(store_.watches.back().object.revision, 20U);
  EXPECT_EQ(causes_, std::vector<ListCause>{ListCause::HistoryGone});
}

TEST_F(KindWatcherTest, ReportsWhenStoreBecomesUnavailableAndAvailable) {
  answerList(7, {});
  answerWatch({WatchStatus::Unavailable, 0, {}});
  EXPECT_FALSE(available_);
  ASSERT_TRUE(runUntil([&] { return store_.watches.size() == 2; }));
  answerWatch({WatchStatus::Events, 7, {}});
  EXPECT_TRUE(available_);
}

// An unresponsive store leaves a watch open without a response until its timeout.
TEST_F(KindWatcherTest, SilentWatchIsReplacedWhenPeerHasSeenNewerRevision) {
  answerList(7, {{"a", 5, "{}"}});
  watcher_.onPeerFreshness({9, 9, 0});
  ASSERT_TRUE(runUntil([&] { return store_.checks.size() == 1; }));
  EXPECT_EQ(store_.checks.back().object.revision, 7U);
  answerCheck({WatchStatus::Events, 12, {{false, {"a", 9, "{}"}}}});
  EXPECT_EQ(watcher_.seen(), 9U);
  EXPECT_EQ(missed_, 1);
  ASSERT_TRUE(runUntil([&] { return store_.watches.size() == 2; }));
  EXPECT_EQ(store_.watches.back().object.revision, 12U);
  // The late response to the replaced watch is outdated.
  store_.watches.front().done({WatchStatus::Events, 8, {{false, {"old", 8, "{}"}}}});
  EXPECT_EQ(seen_, (std::vector<std::string>{"+a", "+a"}));
  EXPECT_TRUE(causes_.empty());
}

TEST_F(KindWatcherTest, ListsWhenCheckFailsAndPeerHasSeenNewerRevision) {
  answerList(7, {{"a", 5, "{}"}});
  watcher_.onPeerFreshness({9, 9, 0});
  ASSERT_TRUE(runUntil([&] { return store_.checks.size() == 1; }));
  answerCheck({WatchStatus::Unavailable, 0, {}});
  ASSERT_TRUE(runUntil([&] { return store_.lists.size() == 2; }));
  EXPECT_EQ(causes_, std::vector<ListCause>{ListCause::SeenByPeer});
  answerList(12, {{"a", 9, "{}"}});
  EXPECT_EQ(watcher_.seen(), 9U);
}

TEST_F(KindWatcherTest, ChecksWhenStaleAndReplacesWatchThatMissedEvents) {
  answerList(7, {{"a", 5, "{}"}});
  advanceWithTicks(milliseconds(400));
  EXPECT_TRUE(store_.checks.empty());
  advanceWithTicks(milliseconds(1200));
  ASSERT_EQ(store_.checks.size(), 1U);
  answerCheck({WatchStatus::Events, 7, {}});
  EXPECT_EQ(missed_, 0);
  EXPECT_LT(watcher_.staleness(), milliseconds(1200));
  advanceWithTicks(milliseconds(1600));
  ASSERT_EQ(store_.checks.size(), 2U);
  answerCheck({WatchStatus::Events, 9, {{false, {"a", 9, "{}"}}}});
  EXPECT_EQ(seen_, (std::vector<std::string>{"+a", "+a"}));
  EXPECT_EQ(missed_, 1);
  ASSERT_TRUE(runUntil([&] { return store_.watches.size() == 2; }));
  EXPECT_EQ(store_.watches.back().object.revision, 9U);
}

TEST_F(KindWatcherTest, MakesNoChecksWhilePeerReportsFreshness) {
  answerList(7, {{"a", 5, "{}"}});
  for (int i = 0; i < 10; ++i) {
    advanceWithTicks(milliseconds(400));
    watcher_.onPeerFreshness({5, 30, 1000});
  }
  EXPECT_TRUE(store_.checks.empty());
  EXPECT_EQ(watcher_.freshness().revision, 5U);
  EXPECT_EQ(watcher_.freshness().staleness_us, 1000);
  EXPECT_EQ(watcher_.freshness().synced_revision, 30U);
  // The check starts at the peer's position, since the store may have dropped older history.
  advanceWithTicks(milliseconds(1600));
  ASSERT_EQ(store_.checks.size(), 1U);
  EXPECT_EQ(store_.checks.back().object.revision, 30U);
  answerCheck({WatchStatus::Events, 31, {}});
  watcher_.onPeerFreshness({5, 30, 1000});
  EXPECT_EQ(watcher_.freshness().synced_revision, 31U);
  // A peer that has not listed the kind does not change the staleness.
  advanceWithTicks(milliseconds(200));
  const auto before = watcher_.freshness().staleness_us;
  watcher_.onPeerFreshness({});
  EXPECT_EQ(watcher_.freshness().staleness_us, before);
}

TEST_F(KindWatcherTest, ChecksBackOffWhileStoreIsUnavailable) {
  answerList(7, {{"a", 5, "{}"}});
  std::size_t answered = 0;
  for (int i = 0; i < 200; ++i) {
    advanceWithTicks(milliseconds(50));
    if (store_.checks.size() > answered) {
      answerCheck({WatchStatus::Unavailable, 0, {}});
      ++answered;
    }
  }
  // In 10 s: the first check after at most 1.5 s, the next ones after 0.4 s, 0.8 s and every further 1.6 s.
  EXPECT_GE(answered, 7U);
  EXPECT_LE(answered, 9U);
}

TEST_F(KindWatcherTest, NoListWhenWatchDeliversPeersRevisionInTime) {
  answerList(7, {});
  watcher_.onPeerFreshness({9, 9, 0});
  answerWatch({WatchStatus::Events, 9, {{false, {"a", 9, "{}"}}}});
  bool elapsed = false;
  loop_.runAfter(milliseconds(600), [&] { elapsed = true; });
  ASSERT_TRUE(runUntil([&] { return elapsed; }));
  EXPECT_EQ(store_.lists.size(), 1U);
  EXPECT_TRUE(store_.checks.empty());
}

// While objects change all the time, some peer has always seen a newer revision.
TEST_F(KindWatcherTest, NoListWhenPeersKeepSeeingNewerRevisions) {
  answerList(7, {});
  watcher_.onPeerFreshness({9, 9, 0});
  answerWatch({WatchStatus::Events, 9, {{false, {"a", 9, "{}"}}}});
  watcher_.onPeerFreshness({11, 11, 0});
  bool elapsed = false;
  loop_.runAfter(milliseconds(600), [&] { elapsed = true; });
  ASSERT_TRUE(runUntil([&] { return elapsed; }));
  EXPECT_EQ(store_.lists.size(), 1U);
  EXPECT_TRUE(store_.checks.empty());
}

// A restored store assigns lower revisions than the known ones; without the list, changes would be taken for older
// ones.
TEST_F(KindWatcherTest, ListsAgainWhenStoreIsRestored) {
  store_.current_epoch = 1;
  answerList({1, 7}, {{"a", {1, 5}, "{}"}});
  store_.current_epoch = 2;
  watcher_.onStoreRestored();
  ASSERT_TRUE(runUntil([&] { return store_.lists.size() == 2; }));
  EXPECT_EQ(causes_, std::vector<ListCause>{ListCause::StoreRestored});
  answerList({2, 3}, {{"a", {2, 2}, "{}"}});
  EXPECT_EQ(seen_, (std::vector<std::string>{"+a", "+a"}));
  EXPECT_EQ(watcher_.seen(), StoreRevision(2, 2));
  EXPECT_EQ(store_.watches.back().object.revision, StoreRevision(2, 3));
}

TEST_F(KindWatcherTest, NoListAfterRestoreIfKindWasListedInNewEpoch) {
  store_.current_epoch = 1;
  answerList({1, 7}, {});
  store_.current_epoch = 2;
  watcher_.onStoreRestored();
  answerWatch({WatchStatus::HistoryGone, {}, {}, 2});
  answerList({2, 3}, {});
  bool elapsed = false;
  loop_.runAfter(milliseconds(400), [&elapsed] { elapsed = true; });
  ASSERT_TRUE(runUntil([&] { return elapsed; }));
  EXPECT_EQ(store_.lists.size(), 2U);
}

TEST_F(KindWatcherTest, IgnoresPeerFreshnessOfEarlierEpoch) {
  store_.current_epoch = 2;
  answerList({2, 3}, {{"a", {2, 2}, "{}"}});
  clock_.advance(std::chrono::seconds(1));
  watcher_.onPeerFreshness({{1, 900}, {1, 900}, 0});
  EXPECT_EQ(watcher_.staleness(), std::chrono::seconds(1));
  answerWatch({WatchStatus::Events, {2, 4}, {}, 2});
  EXPECT_EQ(store_.watches.back().object.revision, StoreRevision(2, 4));
}

// A slow store or a stalled peer may deliver a list that is outdated on arrival.
TEST_F(KindWatcherTest, StalenessOfSlowListCountsFromItsRequest) {
  clock_.advance(milliseconds(900));
  answerList(7, {});
  EXPECT_EQ(watcher_.staleness(), milliseconds(900));
}

}  // namespace
}  // namespace shedlever::test
