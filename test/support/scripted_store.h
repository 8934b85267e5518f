#pragma once

/// @file
/// A metadata store whose responses the test supplies, for code that runs on a real event loop.

#include <deque>
#include <string>

#include "shedlever/metadata_store.h"

namespace shedlever::test {

/// Records each call; the test responds by calling its `done`.
class ScriptedStore final : public MetadataStore {
 public:
  template <class Callback>
  struct Call {
    std::string kind;
    MetadataObject object;
    Callback done;
  };

  void get(const std::string& kind, const std::string& name, AnswerCallback done) override {
    gets.push_back({kind, {name, 0, {}}, std::move(done)});
  }
  void create(const std::string& kind, const MetadataObject& object, AnswerCallback done) override {
    creates.push_back({kind, object, std::move(done)});
  }
  void replace(const std::string& kind, const MetadataObject& object, AnswerCallback done) override {
    replaces.push_back({kind, object, std::move(done)});
  }
  void remove(const std::string& kind, const std::string& name, StoreRevision revision, AnswerCallback done) override {
    removes.push_back({kind, {name, revision, {}}, std::move(done)});
  }
  void list(const std::string& kind, ListFreshness freshness, ListCallback done) override {
    lists.push_back({kind, {}, std::move(done)});
    freshness_of_lists.push_back(freshness);
  }
  void watch(const std::string& kind, StoreRevision after, Duration, WatchCallback done) override {
    watches.push_back({kind, {"", after, {}}, std::move(done)});
  }
  void check(const std::string& kind, StoreRevision after, WatchCallback done) override {
    checks.push_back({kind, {"", after, {}}, std::move(done)});
  }

  StoreEpoch epoch() const override { return current_epoch; }

  /// Returned by `epoch()`.
  StoreEpoch current_epoch = 0;
  /// Recorded calls, oldest first.
  std::deque<Call<AnswerCallback>> gets;
  std::deque<Call<AnswerCallback>> creates;
  std::deque<Call<AnswerCallback>> replaces;
  std::deque<Call<AnswerCallback>> removes;
  std::deque<Call<ListCallback>> lists;
  /// Requested freshness of each call in `lists`.
  std::deque<ListFreshness> freshness_of_lists;
  std::deque<Call<WatchCallback>> watches;
  std::deque<Call<WatchCallback>> checks;
};

}  // namespace shedlever::test
