#include "source/core/settings/settings_write.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/support/fake_object_store.h"

namespace shedlever::test {
namespace {

const std::string kObject = "settings/services/a";
const std::string kHistory = "history/services/a";

/// Waits last as long as the queue lets other events go first.
class QueueTimer final : public RetryTimer {
 public:
  explicit QueueTimer(EventQueue& queue) : queue_(queue) {}
  void runAfter(Duration, std::function<void()> callback) override { queue_.post(std::move(callback)); }

 private:
  EventQueue& queue_;
};

ChangeInfo change(const std::string& id) { return {id, "operator", "2026-12-02T08:00:00Z", 0}; }

std::string document(const std::string& slices, const std::string& base_id = "", SettingsVersion base_version = 0) {
  const std::string text = R"({"path_prefix":"/a/","slices":)" + slices + "}";
  return base_id.empty() ? text : withChange(text, {base_id, "x", "y", base_version});
}

/// A store and writers on one queue.
class SettingsWriteHarness {
 public:
  SettingsWriteHarness() : store(queue), timer_(queue) {}

  /// Begins a write whose outcome is kept.
  void begin(const std::string& change_id, const std::string& text, std::optional<SettingsVersion> base = {}) {
    const SettingsWriteRequest request{DocumentName("services/a"), text, base, change(change_id)};
    writes_.push_back(std::make_unique<SettingsWrite>(request, store, timer_));
    writes_.back()->start([this, change_id](const SettingsWriteOutcome& outcome) {
      RC_ASSERT(outcomes.emplace(change_id, outcome).second);
    });
  }

  SettingsWriteOutcome write(const std::string& change_id, const std::string& text,
                             std::optional<SettingsVersion> base = {}) {
    begin(change_id, text, base);
    queue.runAll();
    return outcomes.at(change_id);
  }

  EventQueue queue;
  FakeObjectStore store;
  std::map<std::string, SettingsWriteOutcome> outcomes;

 private:
  QueueTimer timer_;
  std::vector<std::unique_ptr<SettingsWrite>> writes_;
};

/// A fault of the store while one operator writes over version "first", and what it must be told.
struct FaultCase {
  const char* name;
  StoreFaults faults;
  SettingsWriteStatus expected;
};

TEST(SettingsWrite, TellsTheOutcomeAsProved) {
  const std::vector<FaultCase> cases = {
      {"no fault", {}, SettingsWriteStatus::Accepted},
      {"answers lost", {.lost_answers = 2}, SettingsWriteStatus::Accepted},
      {"writes lost", {.lost_writes = 2}, SettingsWriteStatus::Accepted},
      {"writes late", {.late_writes = 2}, SettingsWriteStatus::Accepted},
      {"answers lost and stale reads", {.stale_reads = 5, .lost_answers = 2}, SettingsWriteStatus::Accepted},
      {"reads unavailable", {.unavailable_reads = 3}, SettingsWriteStatus::Accepted},
      {"store down", {.down = true}, SettingsWriteStatus::NotAccepted},
      {"all writes lost", {.lost_writes = 1000}, SettingsWriteStatus::NotAccepted},
  };
  for (const FaultCase& fault : cases) {
    SCOPED_TRACE(fault.name);
    SettingsWriteHarness desk;
    ASSERT_EQ(desk.write("first", document("1")).status, SettingsWriteStatus::Accepted);
    desk.store.faults = fault.faults;
    const SettingsWriteOutcome outcome = desk.write("second", document("2", "first"));
    EXPECT_EQ(static_cast<int>(outcome.status), static_cast<int>(fault.expected)) << outcome.message;
    const bool stored = changeOf(desk.store.versionsOf(kObject).back().value).id == "second";
    EXPECT_EQ(stored, fault.expected == SettingsWriteStatus::Accepted);
  }
}

TEST(SettingsWrite, UnknownWhenTheStoreFallsAfterTheWrite) {
  SettingsWriteHarness desk;
  desk.begin("first", document("1"));
  while (desk.store.versionsOf(kObject).empty()) {
    desk.store.faults.lost_answers = 1;
    desk.queue.run(0);
  }
  desk.store.faults.down = true;
  desk.queue.runAll();
  EXPECT_EQ(desk.outcomes.at("first").status, SettingsWriteStatus::Unknown);
  desk.store.faults = {};
  EXPECT_EQ(desk.write("again", document("1")).status, SettingsWriteStatus::Unchanged);
}

TEST(SettingsWrite, SecondOperatorIsRefusedWithWhatChanged) {
  SettingsWriteHarness desk;
  desk.write("base", document("1"));
  desk.write("theirs", document("2", "base"));
  const SettingsWriteOutcome outcome = desk.write("mine", document("3,\"repeatable\":true", "base"));
  ASSERT_EQ(outcome.status, SettingsWriteStatus::Conflict);
  EXPECT_EQ(toString(outcome.conflict->theirs), "/slices: 1 -> 2\n");
  EXPECT_EQ(toString(outcome.conflict->ours), "/repeatable: added true\n/slices: 1 -> 3\n");
  EXPECT_EQ(overlappingPointers(outcome.conflict->theirs, outcome.conflict->ours), std::vector<std::string>{"/slices"});
  EXPECT_EQ(outcome.conflict->current_change.id, "theirs");
  EXPECT_EQ(desk.write("blind", document("4")).status, SettingsWriteStatus::Conflict);
  EXPECT_EQ(desk.write("same", document("2")).status, SettingsWriteStatus::Unchanged);
  const SettingsVersion current = outcome.conflict->current_version;
  EXPECT_EQ(desk.write("numbered", document("5"), current).status, SettingsWriteStatus::Accepted);
}

/// An answer to an earlier call comes late: the document looks as it was two versions ago.
TEST(SettingsWrite, StaleReadDoesNotPassForTheStoredDocument) {
  SettingsWriteHarness desk;
  desk.write("one", document("1"));
  const SettingsVersion first = desk.store.versionsOf(kObject).back().version;
  desk.write("two", document("2", "one"));
  desk.store.faults.stale_reads = 2;
  const SettingsWriteOutcome outcome = desk.write("back", document("1", "two", first));
  EXPECT_EQ(outcome.status, SettingsWriteStatus::Accepted) << outcome.message;
}

StoreFaults pickFaults() {
  const auto few = [] { return *rc::gen::inRange<std::uint32_t>(0, 3); };
  return {.unavailable_reads = few(),
          .stale_reads = few(),
          .lost_answers = few(),
          .late_writes = few(),
          .lost_writes = few()};
}

/// Operators race under lost, late and stale answers. What each is told must be what happened, also after
/// the last write that was on its way has arrived; and no version is lost.
RC_GTEST_PROP(SettingsWrite, RacingOperatorsAreToldWhatHappened, ()) {
  SettingsWriteHarness desk;
  desk.store.put(kObject, withChange(document("1"), change("base")));
  const int operators = *rc::gen::inRange(2, 6);
  for (int i = 0; i < operators; ++i) {
    desk.begin("c" + std::to_string(i), document(std::to_string(i + 2), "base"));
  }
  while (!desk.queue.empty()) {
    if (*rc::gen::inRange(0, 8) == 0) {
      desk.store.faults = pickFaults();
    }
    desk.queue.run(*rc::gen::inRange<std::size_t>(0, desk.queue.size()));
  }
  std::map<std::string, SettingsVersion> stored;
  for (const StoredObject& object : desk.store.versionsOf(kObject)) {
    RC_ASSERT(stored.emplace(changeOf(object.value).id, object.version).second);
  }
  for (const auto& [id, outcome] : desk.outcomes) {
    if (outcome.status == SettingsWriteStatus::Accepted) {
      RC_ASSERT(stored.contains(id));
      RC_ASSERT(stored[id] == outcome.version);
    } else if (outcome.status != SettingsWriteStatus::Unknown) {
      RC_ASSERT(!stored.contains(id));
    }
  }
  RC_ASSERT(desk.outcomes.size() == static_cast<std::size_t>(operators));
  RC_ASSERT(stored.size() <= 2U);  // all started from "base": at most one of them replaces it
  if (stored.size() == 2U) {
    const auto history = SettingsHistory::parse(desk.store.versionsOf(kHistory).back().value);
    RC_ASSERT(history.has_value());
    RC_ASSERT(history->findChange("base") != nullptr);
  }
}

/// One operator's answer is lost while others go on from its version: it finds itself in the history.
RC_GTEST_PROP(SettingsWrite, FindsItsChangeUnderLaterOnes, ()) {
  SettingsWriteHarness desk;
  desk.write("base", document("1"));
  desk.begin("mine", document("2", "base"));
  while (desk.store.versionsOf(kObject).size() < 2) {
    desk.store.faults.lost_answers = 1;
    desk.queue.run(0);
  }
  desk.store.faults = {};
  const int later = *rc::gen::inRange(1, 5);
  for (int i = 0; i < later; ++i) {
    // Another writer, by hand: records what it replaces, then replaces it.
    const StoredObject current = desk.store.versionsOf(kObject).back();
    const auto& histories = desk.store.versionsOf(kHistory);
    SettingsHistory history = SettingsHistory::parse(histories.back().value).value();
    history.record(current.version, current.value);
    desk.store.put(kHistory, history.text());
    ChangeInfo next = change("later" + std::to_string(i));
    next.base_version = current.version;
    desk.store.put(kObject, withChange(document(std::to_string(10 + i)), next));
  }
  desk.store.faults.stale_reads = *rc::gen::inRange<std::uint32_t>(0, 4);
  desk.queue.runAll();
  const SettingsWriteOutcome outcome = desk.outcomes.at("mine");
  RC_ASSERT(outcome.status == SettingsWriteStatus::Accepted);
  RC_ASSERT(outcome.version == desk.store.versionsOf(kObject)[1].version);
}

TEST(SettingsHistory, KeepsTheNewestVersionsUpToTheBound) {
  SettingsHistory history;
  for (SettingsVersion version = 1; version <= kMaxHistoryVersions + 5; ++version) {
    history.record(version, withChange(document("1"), change("c" + std::to_string(version))));
    history.record(version, "{}");
  }
  const std::optional<SettingsHistory> again = SettingsHistory::parse(history.text());
  ASSERT_TRUE(again.has_value());
  ASSERT_EQ(again->versions().size(), kMaxHistoryVersions);
  EXPECT_EQ(again->versions().front().version, 6U);
  EXPECT_EQ(again->versions().back().change.id, "c" + std::to_string(kMaxHistoryVersions + 5));
  EXPECT_FALSE(SettingsHistory::parse("{\"versions\":[{}]}").has_value());
}

}  // namespace
}  // namespace shedlever::test
