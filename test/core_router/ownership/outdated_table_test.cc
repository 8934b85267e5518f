/// @file
/// Grants by a process that knows the owner table only from other processes, while the store does not answer.

#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "source/core/router/ownership/ownership_manager.h"
#include "source/lab/sim/virtual_store.h"
#include "test/support/manual_clock.h"
#include "test/support/scripted_store.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Records grants; the test answers them.
class AnsweredCommands final : public ServerCommands {
 public:
  void grant(const GrantCommand&, std::function<void(CommandStatus)> done) override {
    waiting.push_back(std::move(done));
  }
  void release(const ReleaseCommand&, std::function<void(ReleaseResult)>) override {}

  std::vector<std::function<void(CommandStatus)>> waiting;
};

class OutdatedTableTest : public ::testing::Test {
 protected:
  void SetUp() override {
    OwnershipPorts ports;
    ports.store = &store_;
    ports.server_commands = &commands_;
    ports.clock = &clock_;
    ports.directory = &directory_;
    ports.on_change = [] {};
    ports.on_server_gone = [] {};
    ports.table_read = [this] { return table_read_; };
    manager_ = std::make_unique<OwnershipManager>(NodeIdentity{node_, Incarnation{2}}, ServiceName("search"), config_,
                                                  std::move(ports));
    manager_->inheritLease(clock_.now() + seconds(8));
    const OwnerTable table = OwnerTable::divideEvenly({{server_, node_}}, 1, 0);
    manager_->onTableObject({ownerTableName(ServiceName("search")), 50, table.encode()});
    manager_->serverUp(server_, InstanceEnd::Suspected, clock_.now());
  }

  /// @return the number of grants sent in the next 500 ms.
  std::size_t grantsSent() {
    commands_.waiting.clear();
    for (int i = 0; i < 5; ++i) {
      clock_.advance(milliseconds(100));
      manager_->tick(clock_.now());
    }
    return commands_.waiting.size();
  }

  const NodeName node_{"n-1"};
  const InstanceId server_{"i-1"};
  OwnershipConfig config_;
  ScriptedStore store_;
  AnsweredCommands commands_;
  ManualClock clock_;
  sim::SeededRandom random_{1};
  ServerDirectory directory_{node_, ZoneName("zone"), ServerChoiceConfig{}, random_};
  bool table_read_ = false;
  std::unique_ptr<OwnershipManager> manager_;
};

// A table from a peer may lack the last move by the process before; its token went to a server restarted under one id.
TEST_F(OutdatedTableTest, RangesRefusedByTheServerAreNotGrantedAgainBeforeTheTableIsRead) {
  ASSERT_GT(grantsSent(), 0U);
  const auto answer = commands_.waiting.back();
  answer(CommandStatus::Superseded);
  EXPECT_EQ(grantsSent(), 0U);
  table_read_ = true;
  EXPECT_GT(grantsSent(), 0U);
}

TEST_F(OutdatedTableTest, TableFromAPeerServesWhileTheServerAcceptsItsTokens) {
  ASSERT_GT(grantsSent(), 0U);
  const auto answer = commands_.waiting.back();
  answer(CommandStatus::Done);
  EXPECT_GT(grantsSent(), 0U);
}

}  // namespace
}  // namespace shedlever::test
