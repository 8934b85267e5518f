#pragma once

/// @file
/// Metadata store with injected faults in virtual time, together with the clock and the random source of the simulator.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "shedlever/metadata_store.h"

namespace shedlever::sim {

/// Clock that runs scheduled events in order of time.
class VirtualTime final : public Clock {
 public:
  TimePoint now() const override { return now_; }
  void after(Duration delay, std::function<void()> event);
  void runFor(Duration span, const std::function<void()>& after_each);

 private:
  struct Event {
    TimePoint at;
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const { return std::tie(at, number) > std::tie(other.at, other.number); }
  };

  TimePoint now_ = TimePoint(std::chrono::seconds(100));
  std::uint64_t last_number_ = 0;
  std::priority_queue<Event> events_;
};

class SeededRandom final : public RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed) : generator_(seed) {}
  std::uint64_t next() override { return generator_(); }

 private:
  std::mt19937_64 generator_;
};

/// Contents of the metadata store; operations are linearizable.
class StoreState {
 public:
  StoreAnswer get(const std::string& kind, const std::string& name) const;
  StoreAnswer create(const std::string& kind, const MetadataObject& object);
  StoreAnswer replace(const std::string& kind, const MetadataObject& object);
  StoreAnswer remove(const std::string& kind, const std::string& name, StoreRevision revision);
  StoreListing list(const std::string& kind) const;
  StoreRevision revision() const { return {epoch_, changes_}; }

  /// @return how often objects of the kind were created or replaced.
  std::uint64_t writes(const std::string& kind) const { return countOf(writes_, kind); }

  /// @return how many calls tried to create or replace objects of the kind, and how many read one.
  std::uint64_t writeCalls(const std::string& kind) const { return countOf(write_calls_, kind); }
  std::uint64_t reads(const std::string& kind) const { return countOf(reads_, kind); }
  void countRead(const std::string& kind) { ++reads_[kind]; }

  /// Makes a backup of all objects.
  void keepCopy();
  /// Restores the backup in a new epoch. Later writes are lost, and their change numbers are assigned again.
  void restoreCopy();

 private:
  using Objects = std::map<std::pair<std::string, std::string>, MetadataObject>;
  using Counts = std::map<std::string, std::uint64_t>;

  static std::uint64_t countOf(const Counts& counts, const std::string& kind) {
    const auto found = counts.find(kind);
    return found == counts.end() ? 0 : found->second;
  }

  /// @return whether the condition of a write names a different revision than the object's. As on the wire, epochs are
  /// not compared.
  static bool conflicts(const StoreRevision& condition, const MetadataObject& object);
  StoreAnswer answer(StoreStatus status, const MetadataObject& object = {}) const;
  StoreRevision nextRevision();

  StoreEpoch epoch_ = 1;
  std::uint64_t changes_ = 0;
  Objects objects_;
  Counts writes_;
  Counts write_calls_;
  Counts reads_;
  std::uint64_t copied_changes_ = 0;
  Objects copied_objects_;
};

/// Faults of the calls from one node to the store.
struct StoreFaults {
  bool down = false;
  /// Probability that a write is applied and its response lost.
  double lost_answer_probability = 0;
  /// Probability that a write is applied 1 to 6 s later without a response.
  double late_write_probability = 0;
  /// Time from a call to its response.
  Duration response_time = std::chrono::milliseconds(4);
  /// Kind of the objects whose writes take longer; empty if there is none.
  std::string slow_kind = {};
  /// Added to the response time of writes to objects of that kind.
  Duration slow_write_delay{};
};

/// One node's client of the store.
class VirtualMetadataStore final : public MetadataStore {
 public:
  VirtualMetadataStore(VirtualTime& time, StoreState& state, SeededRandom& random)
      : time_(time), state_(state), random_(random) {}

  StoreFaults faults;
  /// Set to false when the process stops; callbacks are dropped from then on.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  void get(const std::string& kind, const std::string& name, AnswerCallback done) override;
  void create(const std::string& kind, const MetadataObject& object, AnswerCallback done) override;
  void replace(const std::string& kind, const MetadataObject& object, AnswerCallback done) override;
  void remove(const std::string& kind, const std::string& name, StoreRevision revision, AnswerCallback done) override;
  /// Returns the latest state for every freshness.
  void list(const std::string& kind, ListFreshness freshness, ListCallback done) override;
  /// Reports WatchStatus::Unavailable after `wait`.
  void watch(const std::string& kind, StoreRevision after, Duration wait, WatchCallback done) override;
  /// Reports WatchStatus::Unavailable at once.
  void check(const std::string& kind, StoreRevision after, WatchCallback done) override;

 private:
  void write(const std::string& kind, std::function<StoreAnswer()> apply, const AnswerCallback& done);
  bool happens(double probability);

  VirtualTime& time_;
  StoreState& state_;
  SeededRandom& random_;
};

}  // namespace shedlever::sim
