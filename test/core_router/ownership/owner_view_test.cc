/// @file
/// Hints from newer owner tables.

#include "source/core/router/ownership/owner_view.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

const OwnerTable kTable =
    OwnerTable::divideEvenly({{InstanceId("i-1"), NodeName("n-1")}, {InstanceId("i-2"), NodeName("n-2")}});
constexpr StoreRevision kRevision = 10;

OwnerHint hint(StoreRevision revision, Key first, Key last, const std::string& owner) {
  return {revision, first, last, InstanceId(owner), NodeName("at-" + owner)};
}

TEST(OwnerViewTest, TableIsUsedWithoutHints) {
  OwnerView view;
  EXPECT_EQ(view.find(5, kTable, kRevision).instance.value, "i-1");
  EXPECT_EQ(view.find(40000, kTable, kRevision).node.value, "n-2");
  EXPECT_TRUE(view.find(5, OwnerTable(), 0).instance.empty());
}

TEST(OwnerViewTest, NewerHintOverridesTheTableForItsKeysOnly) {
  OwnerView view;
  view.addHint(hint(11, 100, 199, "i-9"), kRevision);
  EXPECT_EQ(view.find(99, kTable, kRevision).instance.value, "i-1");
  EXPECT_EQ(view.find(100, kTable, kRevision).instance.value, "i-9");
  EXPECT_EQ(view.find(199, kTable, kRevision).node.value, "at-i-9");
  EXPECT_EQ(view.find(200, kTable, kRevision).instance.value, "i-1");
}

TEST(OwnerViewTest, OlderHintIsIgnored) {
  OwnerView view;
  view.addHint(hint(10, 100, 199, "i-9"), kRevision);
  EXPECT_EQ(view.find(150, kTable, kRevision).instance.value, "i-1");
}

TEST(OwnerViewTest, NewerTableOverridesTheHint) {
  OwnerView view;
  view.addHint(hint(11, 100, 199, "i-9"), kRevision);
  EXPECT_EQ(view.find(150, kTable, 11).instance.value, "i-1");
  EXPECT_EQ(view.find(150, kTable, kRevision).instance.value, "i-1") << "the hint was dropped";
}

TEST(OwnerViewTest, NewerOfTwoHintsIsUsed) {
  OwnerView view;
  view.addHint(hint(12, 100, 199, "i-8"), kRevision);
  view.addHint(hint(11, 150, 250, "i-9"), kRevision);
  EXPECT_EQ(view.find(160, kTable, kRevision).instance.value, "i-8");
  view.addHint(hint(13, 150, 250, "i-7"), kRevision);
  EXPECT_EQ(view.find(160, kTable, kRevision).instance.value, "i-7");
}

}  // namespace
}  // namespace shedlever::test
