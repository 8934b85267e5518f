/// @file
/// What one process can tell another of a kind of objects.

#include "source/core/router/knowledge/kind_state.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

std::vector<std::string> namesAfter(const KindState& state, StoreRevision revision) {
  std::vector<std::string> names;
  for (const ObjectNews& news : state.changedAfter(revision)) {
    names.push_back((news.deleted ? "-" : "+") + news.object.name);
  }
  return names;
}

TEST(KindStateTest, TellsAllThatHasChangedSinceARevision) {
  KindState state;
  EXPECT_TRUE(state.take({"a", 5, "1"}, false));
  EXPECT_TRUE(state.take({"b", 7, "1"}, false));
  EXPECT_TRUE(state.take({"a", 9, "2"}, false));
  EXPECT_EQ(state.seen(), 9U);
  EXPECT_EQ(namesAfter(state, 0), (std::vector<std::string>{"+a", "+b"}));
  EXPECT_EQ(namesAfter(state, 7), std::vector<std::string>{"+a"});
  EXPECT_TRUE(namesAfter(state, 9).empty());
}

TEST(KindStateTest, DeletedObjectsAreToldAsDeletedHoweverFarBack) {
  KindState state;
  state.take({"a", 5, "1"}, false);
  state.take({"a", 8, "1"}, true);
  EXPECT_EQ(namesAfter(state, 0), std::vector<std::string>{"-a"});
}

// Revisions only rise: what an old answer brings, or a process that was told one, takes nobody back.
TEST(KindStateTest, OlderStateOfAnObjectChangesNothing) {
  KindState state;
  state.take({"a", 8, "new"}, false);
  EXPECT_FALSE(state.take({"a", 5, "old"}, false));
  EXPECT_FALSE(state.take({"a", 8, "same"}, false));
  EXPECT_EQ(state.changedAfter(0).front().object.value, "new");
  state.noteComplete(20);
  state.noteComplete(10);
  EXPECT_EQ(state.at(), 20U);
}

}  // namespace
}  // namespace shedlever::test
