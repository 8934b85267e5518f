#pragma once

/// @file
/// Keeps the epochs of a store apart that may come back from a copy of an earlier state.

#include <functional>
#include <memory>
#include <string>

#include "shedlever/metadata_store.h"

namespace shedlever {

/// Revisions are given out again after the store has come back from a copy: one of an earlier epoch says nothing about
/// what stands now, though its count may match. So what was read or written in an earlier epoch is told as lost here,
/// and a condition of an earlier epoch as one that does not hold; nobody behind this class need compare epochs for
/// that.
class RestorableStore final : public MetadataStore {
 public:
  struct Events {
    /// The store has come back from a copy.
    std::function<void(StoreEpoch before, StoreEpoch now)> on_restored;
    /// An answer tells no epoch, as none is told or it can't be read: it is taken for one of the present epoch.
    std::function<void()> on_epoch_missing;
  };

  /// @param store tells epochs with its answers. Outlives this.
  RestorableStore(MetadataStore& store, Events events) : store_(store), events_(std::move(events)) {}
  ~RestorableStore() override { *alive_ = false; }
  RestorableStore(const RestorableStore&) = delete;
  RestorableStore& operator=(const RestorableStore&) = delete;

  /// Another process has heard of that epoch.
  void observePeerEpoch(StoreEpoch epoch);
  StoreEpoch epoch() const override { return epoch_; }

  void get(const std::string& kind, const std::string& name, AnswerCallback done) override;
  void create(const std::string& kind, const MetadataObject& object, AnswerCallback done) override;
  void replace(const std::string& kind, const MetadataObject& object, AnswerCallback done) override;
  void remove(const std::string& kind, const std::string& name, StoreRevision revision, AnswerCallback done) override;
  void list(const std::string& kind, ListFreshness freshness, ListCallback done) override;
  void watch(const std::string& kind, StoreRevision after, Duration wait, WatchCallback done) override;
  void check(const std::string& kind, StoreRevision after, WatchCallback done) override;

 private:
  /// @return whether the revision is of an epoch that is over.
  bool isFromEndedEpoch(const StoreRevision& revision) const { return revision.epoch < epoch_; }
  /// An answer has come. @return whether it is of the present epoch.
  bool observeEpoch(StoreEpoch told);
  StoreAnswer filterByEpoch(StoreAnswer answer);
  WatchResult admit(WatchResult answer, const StoreRevision& after);
  /// Tells what stands as a conflict, for a write whose condition is of an epoch that is over.
  void answerWithConflict(const std::string& kind, const std::string& name, AnswerCallback done);
  /// @return the callback of a call that has no condition.
  AnswerCallback wrapUnconditional(AnswerCallback done);
  /// @return the callback of a conditional write.
  AnswerCallback wrapConditional(const StoreRevision& condition, AnswerCallback done);
  /// @return the callback of a question for changes since a revision.
  WatchCallback wrapWatch(const StoreRevision& after, WatchCallback done);

  MetadataStore& store_;
  Events events_;
  StoreEpoch epoch_ = 0;
  /// Set to false by the destructor, for answers that come afterwards.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
