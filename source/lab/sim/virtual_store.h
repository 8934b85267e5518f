#pragma once

/// @file
/// A metadata store on virtual time that fails as told, and the time and random numbers that it runs on.

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

/// Virtual time with events in its order.
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

/// The metadata store's contents, linearizable.
class StoreState {
 public:
  StoreAnswer get(const std::string& kind, const std::string& name) const;
  StoreAnswer create(const std::string& kind, const MetadataObject& object);
  StoreAnswer replace(const std::string& kind, const MetadataObject& object);
  StoreAnswer remove(const std::string& kind, const std::string& name, StoreRevision revision);
  StoreListing list(const std::string& kind) const;
  StoreRevision revision() const { return {epoch_, changes_}; }

  /// @return how often objects of the kind were written, refused writes not counted.
  std::uint64_t writes(const std::string& kind) const {
    const auto found = writes_.find(kind);
    return found == writes_.end() ? 0 : found->second;
  }

  /// Keeps a copy of all that it holds.
  void keepCopy();
  /// Goes back to the copy: what was written since is gone, and its revisions are given out again.
  void restoreCopy();

 private:
  using Objects = std::map<std::pair<std::string, std::string>, MetadataObject>;

  /// @return whether the condition of a write names another revision than the object's. As on the wire it has no epoch.
  static bool conflicts(const StoreRevision& condition, const MetadataObject& object);
  StoreAnswer answer(StoreStatus status, const MetadataObject& object = {}) const;
  StoreRevision nextRevision();

  StoreEpoch epoch_ = 1;
  std::uint64_t changes_ = 0;
  Objects objects_;
  std::map<std::string, std::uint64_t> writes_;
  std::uint64_t copied_changes_ = 0;
  Objects copied_objects_;
};

/// How calls from one node to the store go.
struct StoreFaults {
  bool down = false;
  /// Chance that a write is done and its answer lost.
  double lost_answer_probability = 0;
  /// Chance that a write is done up to some seconds later, without an answer.
  double late_write_probability = 0;
};

/// One node's way to the store.
class VirtualMetadataStore final : public MetadataStore {
 public:
  VirtualMetadataStore(VirtualTime& time, StoreState& state, SeededRandom& random)
      : time_(time), state_(state), random_(random) {}

  StoreFaults faults;
  /// False once its node is dead: nothing is told any more.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  void get(const std::string& kind, const std::string& name, AnswerCallback done) override;
  void create(const std::string& kind, const MetadataObject& object, AnswerCallback done) override;
  void replace(const std::string& kind, const MetadataObject& object, AnswerCallback done) override;
  void remove(const std::string& kind, const std::string& name, StoreRevision revision, AnswerCallback done) override;
  /// Always the latest state.
  void list(const std::string& kind, ListFreshness freshness, ListCallback done) override;
  void watch(const std::string& kind, StoreRevision after, Duration wait, WatchCallback done) override;
  /// There is never any news.
  void check(const std::string& kind, StoreRevision after, WatchCallback done) override;

 private:
  void write(std::function<StoreAnswer()> apply, const AnswerCallback& done);
  bool happens(double chance);

  VirtualTime& time_;
  StoreState& state_;
  SeededRandom& random_;
};

}  // namespace shedlever::sim
