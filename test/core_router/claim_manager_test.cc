/// @file
/// Claims of idempotency keys: one request a key runs, whatever the store and the processes do.

#include "source/core/router/claim_manager.h"

#include <gtest/gtest.h>

#include "source/core/router/restorable_store.h"
#include "source/lab/sim/virtual_store.h"

namespace shedlever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261202;

/// Router processes that share one store.
class ClaimWorld {
 public:
  struct Process {
    std::unique_ptr<sim::VirtualMetadataStore> store;
    std::unique_ptr<RestorableStore> epochs;
    std::unique_ptr<ClaimManager> keeper;
  };

  explicit ClaimWorld(std::uint64_t seed) : random_(seed) {}

  Process& start(const std::string& name) {
    processes_.push_back(std::make_unique<Process>());
    Process& process = *processes_.back();
    const NodeIdentity self{NodeName(name), Incarnation{++last_incarnation_}};
    lives_[self.name] = self.incarnation;
    process.store = std::make_unique<sim::VirtualMetadataStore>(time_, state_, random_);
    RestorableStore::Events events;
    events.on_restored = [&process](StoreEpoch, StoreEpoch) { process.keeper->onStoreRestored(); };
    events.on_epoch_missing = [] {};
    process.epochs = std::make_unique<RestorableStore>(*process.store, events);
    process.epochs->observePeerEpoch(state_.revision().epoch);
    process.keeper = std::make_unique<ClaimManager>(self, *process.epochs, time_, [this](const NodeIdentity& holder) {
      const auto known = lives_.find(holder.name);
      return known == lives_.end() || known->second <= holder.incarnation;
    });
    tick(process);
    return process;
  }

  /// The process is gone; the store keeps what it wrote, and carries out what is on its way.
  void kill(Process& process) {
    *process.store->alive = false;
    process.keeper.reset();
  }

  struct Asked {
    ClaimHandle number = 0;
    std::optional<ClaimResult> answer;
  };

  std::shared_ptr<Asked> ask(Process& process, const std::string& key, const std::string& request,
                             Duration patience = seconds(10)) {
    auto asked = std::make_shared<Asked>();
    asked->number =
        process.keeper->acquire({ServiceName("s"), TenantName("t"), IdempotencyKey(key)}, RequestId(request),
                                time_.now() + patience, [asked](const ClaimResult& answer) { asked->answer = answer; });
    return asked;
  }

  void run(Duration span) {
    time_.runFor(span, [] {});
  }

  /// The store keeps a copy of all that it holds; goes back to it.
  void copyStore() { state_.keepCopy(); }
  void restoreStore() { state_.restoreCopy(); }

 private:
  void tick(Process& process) {
    time_.after(milliseconds(50), [this, &process] {
      if (process.keeper) {
        process.keeper->tick(time_.now());
        tick(process);
      }
    });
  }

  sim::VirtualTime time_;
  sim::SeededRandom random_;
  sim::StoreState state_;
  std::map<NodeName, Incarnation> lives_;
  std::uint64_t last_incarnation_ = 0;
  std::vector<std::unique_ptr<Process>> processes_;
};

ClaimVerdict verdictOf(const std::shared_ptr<ClaimWorld::Asked>& asked) {
  EXPECT_TRUE(asked->answer);
  return asked->answer ? asked->answer->verdict : ClaimVerdict::Unavailable;
}

class ClaimManagerTest : public ::testing::Test {
 protected:
  ClaimWorld world_{kSeed};
  ClaimWorld::Process& first_ = world_.start("a");
  ClaimWorld::Process& second_ = world_.start("b");
};

TEST_F(ClaimManagerTest, OneOfTwoRequestsRuns) {
  const auto one = world_.ask(first_, "k", "r1");
  const auto other = world_.ask(second_, "k", "r2");
  const auto elsewhere = world_.ask(second_, "k2", "r3");
  world_.run(seconds(1));
  EXPECT_EQ(verdictOf(one), ClaimVerdict::Granted);
  EXPECT_EQ(verdictOf(other), ClaimVerdict::InProgress);
  EXPECT_EQ(verdictOf(elsewhere), ClaimVerdict::Granted);
}

TEST_F(ClaimManagerTest, RepeatedRequestGetsTheRecordedAnswer) {
  const auto one = world_.ask(first_, "k", "r1");
  world_.run(seconds(1));
  first_.keeper->finish(one->number, ClaimOutcome::Answered, {201, {{"A", "b"}}, std::string("\0\xff body", 7)});
  world_.run(seconds(1));
  const auto again = world_.ask(second_, "k", "r2");
  world_.run(seconds(1));
  ASSERT_EQ(verdictOf(again), ClaimVerdict::Recorded);
  EXPECT_EQ(again->answer->recorded_response.status, 201);
  EXPECT_EQ(again->answer->recorded_response.headers.at(0).value, "b");
  EXPECT_EQ(again->answer->recorded_response.body, std::string("\0\xff body", 7));
  EXPECT_EQ(first_.keeper->activeClaims(), 0U);
}

TEST_F(ClaimManagerTest, AnswerTooLargeToKeepIsNotRunAgain) {
  const auto one = world_.ask(first_, "k", "r1");
  world_.run(seconds(1));
  first_.keeper->finish(one->number, ClaimOutcome::Answered, {200, {}, std::string(1U << 20U, 'x')});
  world_.run(seconds(1));
  const auto again = world_.ask(second_, "k", "r2");
  world_.run(seconds(1));
  EXPECT_EQ(verdictOf(again), ClaimVerdict::OutcomeUnknown);
}

TEST_F(ClaimManagerTest, KeyIsFreeAgainOnlyIfItsRequestHasNotRun) {
  const auto refused = world_.ask(first_, "k", "r1");
  const auto lost = world_.ask(first_, "k2", "r2");
  world_.run(seconds(1));
  first_.keeper->finish(refused->number, ClaimOutcome::NotRun, {});
  first_.keeper->finish(lost->number, ClaimOutcome::Unknown, {});
  world_.run(seconds(1));
  const auto again = world_.ask(second_, "k", "r3");
  const auto after_lost = world_.ask(second_, "k2", "r4");
  world_.run(seconds(1));
  EXPECT_EQ(verdictOf(again), ClaimVerdict::Granted);
  EXPECT_EQ(verdictOf(after_lost), ClaimVerdict::OutcomeUnknown);
}

// In place of `lab.LostMajorityTest.ClaimsSurvive`: no loss of processes, all of them at once or not, forgets a claim.
TEST_F(ClaimManagerTest, ClaimsSurviveTheLossOfAllProcesses) {
  const auto running = world_.ask(first_, "k", "r1");
  const auto answered = world_.ask(second_, "k2", "r2");
  world_.run(milliseconds(200));
  second_.keeper->finish(answered->number, ClaimOutcome::Answered, {200, {}, "body"});
  world_.run(milliseconds(200));
  ASSERT_EQ(verdictOf(running), ClaimVerdict::Granted);
  world_.kill(first_);
  world_.kill(second_);
  ClaimWorld::Process& third = world_.start("c");
  const auto while_holder_may_live = world_.ask(third, "k", "r3");
  const auto recorded = world_.ask(third, "k2", "r4");
  world_.run(seconds(1));
  EXPECT_EQ(verdictOf(while_holder_may_live), ClaimVerdict::InProgress);
  EXPECT_EQ(verdictOf(recorded), ClaimVerdict::Recorded);
  ClaimWorld::Process& restarted = world_.start("a");
  const auto after_restart = world_.ask(restarted, "k", "r5");
  world_.run(seconds(1));
  EXPECT_EQ(verdictOf(after_restart), ClaimVerdict::OutcomeUnknown);
}

TEST_F(ClaimManagerTest, UndecidedClaimIsRefusedInTimeAndItsKeyComesFree) {
  first_.store->faults.late = 1.0;
  const auto late = world_.ask(first_, "k", "r1", milliseconds(800));
  world_.run(seconds(1));
  ASSERT_EQ(verdictOf(late), ClaimVerdict::Unavailable);
  first_.store->faults = {};
  world_.run(seconds(15));
  EXPECT_EQ(first_.keeper->activeClaims(), 0U);
  const auto next = world_.ask(second_, "k", "r2");
  world_.run(seconds(1));
  EXPECT_EQ(verdictOf(next), ClaimVerdict::Granted);
}

// A claim that is waited for no more must not be granted by a call that the store carries out later.
TEST(ClaimManagerProperty, NoKeyIsGrantedTwiceUnlessTheFirstHasNotRun) {
  constexpr std::uint64_t kSeeds = 60;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE(seed);
    ClaimWorld world(seed);
    std::vector<ClaimWorld::Process*> processes = {&world.start("a"), &world.start("b"), &world.start("c")};
    std::mt19937_64 random(seed);
    for (ClaimWorld::Process* process : processes) {
      process->store->faults = {false, 0.25, 0.25};
    }
    std::vector<std::shared_ptr<ClaimWorld::Asked>> granted;
    std::vector<std::pair<ClaimWorld::Process*, std::shared_ptr<ClaimWorld::Asked>>> asked;
    std::size_t runs = 0;
    for (int step = 0; step < 40; ++step) {
      ClaimWorld::Process* process = processes[random() % processes.size()];
      asked.emplace_back(process, world.ask(*process, "k", "r" + std::to_string(step), seconds(2)));
      world.run(milliseconds(random() % 1500));
      for (auto& [holder, claim] : asked) {
        if (!claim || !claim->answer || claim->answer->verdict != ClaimVerdict::Granted) {
          continue;
        }
        // A third of the requests that are granted are refused before they run; the others run.
        const bool ran = random() % 3 != 0;
        runs += ran ? 1 : 0;
        holder->keeper->finish(claim->number, ran ? ClaimOutcome::Unknown : ClaimOutcome::NotRun, {});
        claim.reset();
      }
    }
    EXPECT_LE(runs, 1U);
  }
}

TEST_F(ClaimManagerTest, HeldClaimThatTheStoreHasLostIsNotGivenToAnother) {
  world_.copyStore();
  const auto held = world_.ask(first_, "k", "r1");
  world_.run(seconds(1));
  ASSERT_EQ(verdictOf(held), ClaimVerdict::Granted);
  world_.restoreStore();
  const auto other = world_.ask(second_, "k", "r2");
  // The holder hears of the later epoch after the other one has written its claim.
  world_.run(seconds(1));
  EXPECT_FALSE(other->answer);
  world_.ask(first_, "another", "r3");
  world_.run(seconds(5));
  EXPECT_EQ(verdictOf(other), ClaimVerdict::InProgress);
  first_.keeper->finish(held->number, ClaimOutcome::Answered, {201, {}, "done"});
  world_.run(seconds(1));
  const auto repeated = world_.ask(second_, "k", "r4");
  world_.run(seconds(1));
  EXPECT_EQ(verdictOf(repeated), ClaimVerdict::Recorded);
}

TEST_F(ClaimManagerTest, EndedClaimThatTheStoreHasLostIsWrittenAgain) {
  world_.copyStore();
  const auto ran = world_.ask(first_, "k", "r1");
  const auto did_not = world_.ask(first_, "k2", "r2");
  world_.run(seconds(1));
  first_.keeper->finish(ran->number, ClaimOutcome::Answered, {201, {}, "done"});
  first_.keeper->finish(did_not->number, ClaimOutcome::NotRun, {});
  world_.run(seconds(1));
  world_.restoreStore();
  const auto repeated = world_.ask(second_, "k", "r3");
  const auto free = world_.ask(second_, "k2", "r4");
  world_.ask(first_, "another", "r5");
  world_.run(seconds(5));
  EXPECT_EQ(verdictOf(repeated), ClaimVerdict::Recorded);
  EXPECT_EQ(verdictOf(free), ClaimVerdict::Granted);
}

TEST_F(ClaimManagerTest, RequestThatCantWaitUntilClaimsAreWrittenAgainIsRefusedAtOnce) {
  world_.copyStore();
  world_.restoreStore();
  const auto first = world_.ask(first_, "k", "r1");
  world_.run(milliseconds(200));
  const auto hasty = world_.ask(first_, "k2", "r2", seconds(1));
  world_.run(milliseconds(200));
  EXPECT_EQ(verdictOf(hasty), ClaimVerdict::Unavailable);
  EXPECT_FALSE(first->answer);
  world_.run(seconds(3));
  EXPECT_EQ(verdictOf(first), ClaimVerdict::Granted);
}

}  // namespace
}  // namespace shedlever
