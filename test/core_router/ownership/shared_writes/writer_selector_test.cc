/// @file
/// Which process writes an owner table for the others.

#include "source/core/router/ownership/shared_writes/writer_selector.h"

#include <gtest/gtest.h>

#include <set>

#include "source/lab/sim/virtual_store.h"
#include "test/support/serving_node.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = WriterSelector::Selection::Kind;

const ServiceName kService("search");
const TimePoint kStart{seconds(100)};

/// The selection of node "c" among "a" to "d"; it is connected to "a", "b" and "d".
class WriterSelectorTest : public ::testing::Test {
 protected:
  void SetUp() override {
    for (const char* name : {"a", "b", "c", "d"}) {
      add(name, kRequestPartsWireVersion);
    }
  }

  void add(const std::string& name, WireVersion version) {
    NodeRecord record = servingNode(name, kService, 4);
    record.wire_version = version;
    directory_.update(record);
  }

  WriterSelector::Selection select(Duration after_start = {}) { return selector_.select(kStart + after_start); }
  void expectNode(const std::string& name, Duration after_start = {}) {
    const auto selection = select(after_start);
    EXPECT_EQ(selection.kind, Kind::Other);
    EXPECT_EQ(selection.node.value, name);
  }

  sim::SeededRandom random_{20261202};
  ServerDirectory directory_{NodeName("c"), ZoneName("zone"), ServerChoiceConfig{}, random_};
  std::set<std::string> connected_ = {"a", "b", "d"};
  std::vector<std::string> connects_;
  WriterSelector selector_{NodeName("c"),
                           kService,
                           {&directory_, [this](const NodeName& node) { return connected_.contains(node.value); },
                            [this](const NodeName& node) { connects_.push_back(node.value); }}};
};

TEST_F(WriterSelectorTest, FirstConnectedNodeWrites) { expectNode("a"); }

TEST_F(WriterSelectorTest, NodeThatIsFirstItselfWrites) {
  directory_.markUnreachable(NodeName("a"));
  directory_.markUnreachable(NodeName("b"));
  EXPECT_EQ(select().kind, Kind::Self);
}

TEST_F(WriterSelectorTest, NodeOfAnEarlierBuildWritesForNobody) {
  add("a", kRequestPartsWireVersion - 1);
  add("b", 0);
  EXPECT_EQ(select().kind, Kind::Self);
}

TEST_F(WriterSelectorTest, NodeOfAnotherServiceWritesForNobody) {
  NodeRecord record = servingNode("a", ServiceName("orders"), 4);
  record.wire_version = kRequestPartsWireVersion;
  directory_.update(record);
  expectNode("b");
}

TEST_F(WriterSelectorTest, NodeThatFailedIsPassedOverForAWhile) {
  selector_.onFailed(NodeName("a"), kStart);
  expectNode("b", milliseconds(1999));
  expectNode("a", seconds(2));
}

// Guards against a write by each owner itself when all processes start at once and no streams are open yet.
TEST_F(WriterSelectorTest, StreamsToTheFirstNodesAreAwaitedForALimitedTime) {
  connected_ = {"d"};
  EXPECT_EQ(select().kind, Kind::Wait);
  EXPECT_EQ(select(milliseconds(100)).kind, Kind::Wait);
  EXPECT_EQ(connects_, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(select(milliseconds(600)).kind, Kind::Self);
}

TEST_F(WriterSelectorTest, SelectionWaitsForAnEarlierNodeOnlyUntilItIsConnected) {
  connected_ = {"b"};
  EXPECT_EQ(select().kind, Kind::Wait);
  connected_.insert("a");
  expectNode("a", milliseconds(100));
}

TEST_F(WriterSelectorTest, ServiceWithoutOtherNodesIsWrittenByItself) {
  for (const char* name : {"a", "b", "c", "d"}) {
    directory_.remove(NodeName(name));
  }
  EXPECT_EQ(select().kind, Kind::Self);
}

}  // namespace
}  // namespace shedlever::test
