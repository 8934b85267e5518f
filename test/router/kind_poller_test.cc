/// @file
/// Objects whose every change need not be seen are listed when others have seen more, and not more often than that.

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

  static KindPollerConfig config() {
    return {milliseconds(40), std::chrono::hours(1), milliseconds(10), milliseconds(5)};
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
  BootClockImpl clock_;
  ScriptedStore store_;
  std::vector<StoreRevision> seen_;
  int listed_ = 0;
  std::vector<bool> available_;
  bool is_missing_some_ = false;
  KindPoller poller_{
      loop_,
      clock_,
      store_,
      "k",
      config(),
      {[this](const MetadataObject& object) { seen_.push_back(object.revision); }, [this] { ++listed_; },
       [this](bool available) { available_.push_back(available); }, [this] { return is_missing_some_; }}};
};

TEST_F(KindPollerTest, ListsAgainOnceOthersHaveSeenMore) {
  answer({{"a", 5, "{}"}});
  EXPECT_EQ(poller_.seen(), 5U);
  poller_.onSeenElsewhere(5);
  runOnce();
  EXPECT_EQ(store_.lists.size(), 1U);
  poller_.onSeenElsewhere(7);
  poller_.onSeenElsewhere(8);
  ASSERT_TRUE(runUntilLists(2));
  answer({{"a", 8, "{}"}});
  runOnce();
  EXPECT_EQ(store_.lists.size(), 2U);
  EXPECT_EQ(seen_, (std::vector<StoreRevision>{5, 8}));
}

TEST_F(KindPollerTest, WhatIsSeenDuringAListIsNotForgotten) {
  poller_.onSeenElsewhere(9);
  answer({{"a", 5, "{}"}});
  EXPECT_TRUE(runUntilLists(2));
}

TEST_F(KindPollerTest, LooksSoonForTheFirstObject) {
  answer({});
  EXPECT_EQ(listed_, 1);
  EXPECT_TRUE(runUntilLists(2));
}

// Seen on the bench: with several services divided by key, the first list held the first service's table alone, and the
// others were not looked for until the traffic began.
TEST_F(KindPollerTest, LooksSoonForAnObjectThatIsMissing) {
  is_missing_some_ = true;
  answer({{"a", 5, "{}"}});
  ASSERT_TRUE(runUntilLists(2));
  is_missing_some_ = false;
  answer({{"a", 5, "{}"}, {"b", 6, "{}"}});
  runOnce();
  EXPECT_EQ(store_.lists.size(), 2U);
}

TEST_F(KindPollerTest, LooksSoonWhenToldThatOneMayBeMissing) {
  answer({{"a", 5, "{}"}});
  poller_.lookForMissing();
  runOnce();
  EXPECT_EQ(store_.lists.size(), 1U);
  is_missing_some_ = true;
  poller_.lookForMissing();
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
