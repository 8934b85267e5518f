#include "source/core/settings/settings_write.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/support/fake_object_store.h"

namespace shedlever::test {
namespace {

const std::string kObject = "settings/services/a";
const std::string kHistory = "history/services/a";

/// Posts callbacks to the event queue without a delay; the queue decides which events run first.
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

/// A store and any number of writers on one event queue.
class SettingsWriteHarness {
 public:
  SettingsWriteHarness() : store(queue), timer_(queue) {}

  /// Starts a write and records its outcome under `change_id`.
  void startWrite(const std::string& change_id, const std::string& text, std::optional<SettingsVersion> base = {}) {
    const SettingsWriteRequest request{DocumentName("services/a"), text, base, change(change_id)};
    writes_.push_back(std::make_unique<SettingsWrite>(request, store, timer_));
    writes_.back()->start([this, change_id](const SettingsWriteOutcome& outcome) {
      RC_ASSERT(outcomes.emplace(change_id, outcome).second);
    });
  }

  SettingsWriteOutcome write(const std::string& change_id, const std::string& text,
                             std::optional<SettingsVersion> base = {}) {
    startWrite(change_id, text, base);
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

/// A fault of the store while one operator replaces the change "first", and the expected status.
struct FaultCase {
  const char* name;
  StoreFaults faults;
  SettingsWriteStatus expected;
};

TEST(SettingsWrite, ReportsCorrectStatusUnderStoreFaults) {
  const std::vector<FaultCase> cases = {
      {"no fault", {}, SettingsWriteStatus::Accepted},
      {"answers lost", {.lost_responses = 2}, SettingsWriteStatus::Accepted},
      {"writes lost", {.lost_writes = 2}, SettingsWriteStatus::Accepted},
      {"writes late", {.late_writes = 2}, SettingsWriteStatus::Accepted},
      {"answers lost and stale reads", {.stale_reads = 5, .lost_responses = 2}, SettingsWriteStatus::Accepted},
      {"reads unavailable", {.unavailable_reads = 3}, SettingsWriteStatus::Accepted},
      {"store down", {.down = true}, SettingsWriteStatus::NotAccepted},
      {"all writes lost", {.lost_writes = 1000}, SettingsWriteStatus::NotAccepted},
  };
  for (const FaultCase& fault : cases) {
    SCOPED_TRACE(fault.name);
    SettingsWriteHarness harness;
    ASSERT_EQ(harness.write("first", document("1")).status, SettingsWriteStatus::Accepted);
    harness.store.faults = fault.faults;
    const SettingsWriteOutcome outcome = harness.write("second", document("2", "first"));
    EXPECT_EQ(static_cast<int>(outcome.status), static_cast<int>(fault.expected)) << outcome.message;
    const bool stored = changeOf(harness.store.versionsOf(kObject).back().value).id == "second";
    EXPECT_EQ(stored, fault.expected == SettingsWriteStatus::Accepted);
  }
}

TEST(SettingsWrite, StatusIsUnknownIfStoreFailsAfterTheWrite) {
  SettingsWriteHarness harness;
  harness.startWrite("first", document("1"));
  while (harness.store.versionsOf(kObject).empty()) {
    harness.store.faults.lost_responses = 1;
    harness.queue.run(0);
  }
  harness.store.faults.down = true;
  harness.queue.runAll();
  EXPECT_EQ(harness.outcomes.at("first").status, SettingsWriteStatus::Unknown);
  harness.store.faults = {};
  EXPECT_EQ(harness.write("again", document("1")).status, SettingsWriteStatus::Unchanged);
}

TEST(SettingsWrite, ConcurrentChangeIsAConflictWithDifferences) {
  SettingsWriteHarness harness;
  harness.write("base", document("1"));
  harness.write("theirs", document("2", "base"));
  const SettingsWriteOutcome outcome = harness.write("mine", document("3,\"repeatable\":true", "base"));
  ASSERT_EQ(outcome.status, SettingsWriteStatus::Conflict);
  EXPECT_EQ(toString(outcome.conflict->theirs), "/slices: 1 -> 2\n");
  EXPECT_EQ(toString(outcome.conflict->ours), "/repeatable: added true\n/slices: 1 -> 3\n");
  EXPECT_EQ(overlappingPointers(outcome.conflict->theirs, outcome.conflict->ours), std::vector<std::string>{"/slices"});
  EXPECT_EQ(outcome.conflict->current_change.id, "theirs");
  EXPECT_EQ(harness.write("blind", document("4")).status, SettingsWriteStatus::Conflict);
  EXPECT_EQ(harness.write("same", document("2")).status, SettingsWriteStatus::Unchanged);
  const SettingsVersion current = outcome.conflict->current_version;
  EXPECT_EQ(harness.write("numbered", document("5"), current).status, SettingsWriteStatus::Accepted);
}

/// A stale read returns an older version whose content equals the text to be written: not a reason to skip the write.
TEST(SettingsWrite, StaleReadIsNotTakenForTheStoredDocument) {
  SettingsWriteHarness harness;
  harness.write("one", document("1"));
  const SettingsVersion first = harness.store.versionsOf(kObject).back().version;
  harness.write("two", document("2", "one"));
  harness.store.faults.stale_reads = 2;
  const SettingsWriteOutcome outcome = harness.write("back", document("1", "two", first));
  EXPECT_EQ(outcome.status, SettingsWriteStatus::Accepted) << outcome.message;
}

StoreFaults arbitraryFaults() {
  const auto small_count = [] { return *rc::gen::inRange<std::uint32_t>(0, 3); };
  return {.unavailable_reads = small_count(),
          .stale_reads = small_count(),
          .lost_responses = small_count(),
          .late_writes = small_count(),
          .lost_writes = small_count()};
}

/// Concurrent operators under lost, late and stale responses: each reported status must match the stored versions after
/// all delayed writes have arrived, and the replaced version must be in the history.
RC_GTEST_PROP(SettingsWrite, ConcurrentWritesReportCorrectStatus, ()) {
  SettingsWriteHarness harness;
  harness.store.put(kObject, withChange(document("1"), change("base")));
  const int operators = *rc::gen::inRange(2, 6);
  for (int i = 0; i < operators; ++i) {
    harness.startWrite("c" + std::to_string(i), document(std::to_string(i + 2), "base"));
  }
  while (!harness.queue.empty()) {
    if (*rc::gen::inRange(0, 8) == 0) {
      harness.store.faults = arbitraryFaults();
    }
    harness.queue.run(*rc::gen::inRange<std::size_t>(0, harness.queue.size()));
  }
  std::map<std::string, SettingsVersion> stored;
  for (const StoredObject& object : harness.store.versionsOf(kObject)) {
    RC_ASSERT(stored.emplace(changeOf(object.value).id, object.version).second);
  }
  for (const auto& [id, outcome] : harness.outcomes) {
    if (outcome.status == SettingsWriteStatus::Accepted) {
      RC_ASSERT(stored.contains(id));
      RC_ASSERT(stored[id] == outcome.version);
    } else if (outcome.status != SettingsWriteStatus::Unknown) {
      RC_ASSERT(!stored.contains(id));
    }
  }
  RC_ASSERT(harness.outcomes.size() == static_cast<std::size_t>(operators));
  RC_ASSERT(stored.size() <= 2U);  // all are based on "base": at most one of them replaces it
  if (stored.size() == 2U) {
    const auto history = SettingsHistory::parse(harness.store.versionsOf(kHistory).back().value);
    RC_ASSERT(history.has_value());
    RC_ASSERT(history->findChange("base") != nullptr);
  }
}

/// The response to a write is lost, and other operators replace its version: the writer finds its change in the
/// history.
RC_GTEST_PROP(SettingsWrite, FindsItsChangeInHistoryAfterLaterChanges, ()) {
  SettingsWriteHarness harness;
  harness.write("base", document("1"));
  harness.startWrite("mine", document("2", "base"));
  while (harness.store.versionsOf(kObject).size() < 2) {
    harness.store.faults.lost_responses = 1;
    harness.queue.run(0);
  }
  harness.store.faults = {};
  const int later = *rc::gen::inRange(1, 5);
  for (int i = 0; i < later; ++i) {
    // Acts as another writer: records the current version, then replaces it.
    const StoredObject current = harness.store.versionsOf(kObject).back();
    const auto& histories = harness.store.versionsOf(kHistory);
    SettingsHistory history = SettingsHistory::parse(histories.back().value).value();
    history.record(current.version, current.value);
    harness.store.put(kHistory, history.text());
    ChangeInfo next = change("later" + std::to_string(i));
    next.base_version = current.version;
    harness.store.put(kObject, withChange(document(std::to_string(10 + i)), next));
  }
  harness.store.faults.stale_reads = *rc::gen::inRange<std::uint32_t>(0, 4);
  harness.queue.runAll();
  const SettingsWriteOutcome outcome = harness.outcomes.at("mine");
  RC_ASSERT(outcome.status == SettingsWriteStatus::Accepted);
  RC_ASSERT(outcome.version == harness.store.versionsOf(kObject)[1].version);
}

TEST(SettingsHistory, KeepsNewestVersionsUpToLimit) {
  SettingsHistory history;
  for (SettingsVersion version = 1; version <= kMaxHistoryVersions + 5; ++version) {
    history.record(version, withChange(document("1"), change("c" + std::to_string(version))));
    history.record(version, "{}");
  }
  const std::optional<SettingsHistory> parsed = SettingsHistory::parse(history.text());
  ASSERT_TRUE(parsed.has_value());
  ASSERT_EQ(parsed->versions().size(), kMaxHistoryVersions);
  EXPECT_EQ(parsed->versions().front().version, 6U);
  EXPECT_EQ(parsed->versions().back().change.id, "c" + std::to_string(kMaxHistoryVersions + 5));
  EXPECT_FALSE(SettingsHistory::parse("{\"versions\":[{}]}").has_value());
}

}  // namespace
}  // namespace shedlever::test
