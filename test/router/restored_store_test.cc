/// @file
/// Configurations that change after the store has come back from a copy of an earlier state.
///
/// Seen: changes that the store had acknowledged were taken over by no process for up to four seconds, though the store
/// answered every call; requests on a route that had been taken away were still served. The store had been away for
/// some seconds and had come back from a copy, which counted its revisions on from an earlier one. Every process took
/// the objects that were written then for older than those it knew, as their revisions were lower, until the count had
/// passed the old one. Proved by the revisions of the configurations adopted: 113 before and 115 after, with eighteen
/// acknowledged writes between them.

#include <gtest/gtest.h>

#include "test/support/router_cluster.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
/// Three times what is promised.
constexpr Duration kInForceWithin = seconds(6);

class RestoredStoreTest : public ::testing::Test {
 protected:
  void SetUp() override {
    cluster_.addNode("orders");
    cluster_.addNode("orders");
    cluster_.addNode("search");
    ASSERT_TRUE(cluster_.runUntilServing());
  }

  bool allAnswer(const std::string& target, int status) { return cluster_.allAnswer(target, status, kInForceWithin); }

  /// Writes that take the store's revision far beyond that of the copy.
  void writeManyVersions() {
    for (std::uint32_t version = 2; version < kLastBefore; ++version) {
      cluster_.writeConfig(version, {"/search/", "/orders/"});
    }
    cluster_.writeConfig(kLastBefore, {"/search/", "/orders/", "/more/"});
  }

  static constexpr std::uint32_t kLastBefore = 40;
  RouterCluster cluster_;
};

TEST_F(RestoredStoreTest, ChangeAfterwardsIsInForceThoughItsRevisionIsLowerThanTheKnownOne) {
  cluster_.copyStore();
  writeManyVersions();
  ASSERT_TRUE(allAnswer("/more/x", kOk));
  cluster_.restoreStore();
  cluster_.writeConfig(kLastBefore, {"/search/", "/orders/", "/more/"});
  cluster_.writeConfig(kLastBefore + 1, {"/search/", "/orders/"});
  EXPECT_TRUE(allAnswer("/more/x", kNotFound));
}

// The copy holds an older configuration than the one in force, until operators have written theirs again.
TEST_F(RestoredStoreTest, ConfigurationDoesNotGoBackToThatOfTheCopy) {
  cluster_.copyStore();
  writeManyVersions();
  ASSERT_TRUE(allAnswer("/more/x", kOk));
  cluster_.restoreStore();
  const auto over = cluster_.overAfter(seconds(3));
  while (!*over) {
    for (const auto& node : cluster_.nodes()) {
      ASSERT_EQ(cluster_.ask(*node, "/more/x").http.status, kOk);
    }
    cluster_.pause(milliseconds(20));
  }
}

// It reads the copy, while the others know the newest configuration: it hears of that with their replies.
TEST_F(RestoredStoreTest, ProcessThatStartsBeforeItIsWrittenAgainTakesTheNewestFromOthers) {
  cluster_.copyStore();
  writeManyVersions();
  ASSERT_TRUE(allAnswer("/more/x", kOk));
  cluster_.restoreStore();
  RouterCluster::Node& started = *cluster_.nodes().front();
  cluster_.restartRouter(started);
  const auto over = cluster_.overAfter(kInForceWithin);
  while (cluster_.ask(started, "/more/x").http.status != kOk && !*over) {
    cluster_.ask(started, "/search/x", "20000");
    cluster_.pause(milliseconds(20));
  }
  EXPECT_FALSE(*over);
}

// Watches that were waiting when the store went away are cut; the counter has passed the old revision by the time that
// they are sent again.
TEST_F(RestoredStoreTest, ChangeIsNotMissedWhoseRevisionWasGivenOutBefore) {
  cluster_.copyStore();
  writeManyVersions();
  ASSERT_TRUE(allAnswer("/more/x", kOk));
  cluster_.setStoreMode("reset");
  cluster_.pause(milliseconds(300));
  cluster_.setStoreMode("up");
  cluster_.restoreStore();
  cluster_.writeConfig(kLastBefore + 1, {"/search/", "/orders/"});
  for (std::uint32_t version = kLastBefore + 2; version < 3 * kLastBefore; ++version) {
    cluster_.writeConfig(version, {"/search/", "/orders/"});
  }
  EXPECT_TRUE(allAnswer("/more/x", kNotFound));
}

}  // namespace
}  // namespace shedlever::test
