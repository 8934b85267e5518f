/// @file
/// Moves of keys: which results of a release let its keys go to another server, and when a release is repeated.

#include "source/core/router/ownership/key_moves.h"

#include <gtest/gtest.h>

#include <utility>

#include "test/support/manual_clock.h"
#include "test/support/scripted_store.h"

namespace shedlever::test {
namespace {

constexpr Duration kReleaseRetry = std::chrono::milliseconds(50);

const ServiceName kService("search");
const OwnerLocation kSelf{InstanceId("i-self"), NodeName("self")};
const OwnerLocation kOther{InstanceId("i-other"), NodeName("other")};

/// A move of the first range of kSelf to kOther, whose release has been sent.
class KeyMovesTest : public ::testing::Test {
 protected:
  void SetUp() override {
    writer_.onObject({ownerTableName(kService), {0, 1}, OwnerTable::divideEvenly({kSelf, kOther}, 2).encode()});
    moves_.start(kSelf, {writer_.table().ownedBy(kSelf.instance).front().keys}, {kOther});
    ASSERT_EQ(store_.replaces.size(), 1U);
    const auto write = store_.replaces.front();
    store_.replaces.pop_front();
    write.done({StoreStatus::Done, {write.object.name, {0, 2}, write.object.value}});
    ASSERT_EQ(releases_.size(), 1U);
  }

  KeyMoves::Ports ports() {
    KeyMoves::Ports ports;
    ports.writer = &writer_;
    ports.clock = &clock_;
    ports.release_retry = kReleaseRetry;
    ports.change = [this](const std::string&, std::vector<TableEdit> edits, TableWriter::Done done) {
      writer_.change(std::move(edits), std::move(done));
    };
    ports.transfer = [this](const std::string&, const std::vector<OwnerLocation>&, const std::vector<TableEdit>& edits,
                            const TableWriter::Done&) { transferred_ += edits.size(); };
    ports.release = [this](const OwnedRange&, GrantChannel::ReleaseCallback done) {
      releases_.push_back(std::move(done));
    };
    ports.targets = [] { return std::vector<OwnerLocation>{kOther}; };
    ports.rate_of = [](const KeyRange&) { return 0U; };
    ports.on_server_gone = [this] { ++server_gone_; };
    ports.on_batch_done = [] {};
    return ports;
  }

  /// Answers the newest release.
  void answer(CommandStatus status) {
    const auto done = releases_.back();
    done({status, "h"});
  }

  /// Expects that the release is repeated once, after the retry delay.
  void expectRepeatedAfterTheDelay() {
    moves_.tick(clock_.now());
    EXPECT_EQ(releases_.size(), 1U);
    clock_.advance(kReleaseRetry);
    moves_.tick(clock_.now());
    moves_.tick(clock_.now());
    EXPECT_EQ(releases_.size(), 2U);
  }

  ManualClock clock_;
  ScriptedStore store_;
  TableWriter writer_{kService, store_, [] {}};
  std::vector<GrantChannel::ReleaseCallback> releases_;
  std::size_t transferred_ = 0;
  int server_gone_ = 0;
  KeyMoves moves_{ports()};
};

TEST_F(KeyMovesTest, ReleasedKeysAreTransferred) {
  answer(CommandStatus::Done);
  EXPECT_EQ(transferred_, 1U);
  moves_.tick(clock_.now() + kReleaseRetry);
  EXPECT_EQ(releases_.size(), 1U);
}

// Guards against keys that change hands because another instance answered the release of their owner.
TEST_F(KeyMovesTest, ReleaseRefusedByAnotherInstanceTransfersNothing) {
  answer(CommandStatus::WrongInstance);
  EXPECT_EQ(transferred_, 0U);
  EXPECT_EQ(server_gone_, 1);
  expectRepeatedAfterTheDelay();
}

// Guards against a batch that never ends when a refused connection does not prove that the server has ended.
TEST_F(KeyMovesTest, ReleaseAtARefusingAddressIsRepeatedWhileTheServerCountsAsRunning) {
  answer(CommandStatus::ServerGone);
  EXPECT_EQ(transferred_, 0U);
  EXPECT_EQ(server_gone_, 1);
  expectRepeatedAfterTheDelay();
}

// Guards against a busy loop of releases at a server that accepts connections and closes them.
TEST_F(KeyMovesTest, ReleaseWithoutAnswerIsRepeatedAfterTheRetryDelay) {
  answer(CommandStatus::NoAnswer);
  EXPECT_EQ(transferred_, 0U);
  EXPECT_EQ(server_gone_, 0);
  expectRepeatedAfterTheDelay();
  answer(CommandStatus::Done);
  EXPECT_EQ(transferred_, 1U);
}

TEST_F(KeyMovesTest, CancelledReleaseIsNotRepeated) {
  answer(CommandStatus::NoAnswer);
  moves_.cancel();
  moves_.tick(clock_.now() + kReleaseRetry);
  EXPECT_EQ(releases_.size(), 1U);
}

}  // namespace
}  // namespace shedlever::test
