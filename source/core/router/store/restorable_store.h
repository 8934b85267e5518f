#pragma once

/// @file
/// Keeps the epochs of a metadata store apart that may be restored from a backup.

#include <functional>
#include <memory>
#include <string>

#include "shedlever/metadata_store.h"

namespace shedlever {

/// A restored store reuses revisions: one of an earlier epoch says nothing about the present state, even if its number
/// matches. This class therefore reports answers of an earlier epoch as lost and conditions of an earlier epoch as not
/// met, so that its users need not compare epochs.
class RestorableStore final : public MetadataStore {
 public:
  struct Events {
    /// The store has been restored from a backup.
    std::function<void(StoreEpoch before, StoreEpoch now)> on_restored;
    /// An answer has no valid epoch and is treated as one of the present epoch.
    std::function<void()> on_epoch_missing;
  };

  /// @param store reports epochs with its answers. Must outlive this object.
  RestorableStore(MetadataStore& store, Events events) : store_(store), events_(std::move(events)) {}
  ~RestorableStore() override { *alive_ = false; }
  RestorableStore(const RestorableStore&) = delete;
  RestorableStore& operator=(const RestorableStore&) = delete;

  /// Another process has seen this epoch.
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
  /// @return whether the revision is of an earlier epoch.
  bool isFromEndedEpoch(const StoreRevision& revision) const { return revision.epoch < epoch_; }
  /// Records the epoch of an answer.
  /// @return whether it is the present epoch.
  bool observeEpoch(StoreEpoch answer_epoch);
  StoreAnswer filterByEpoch(StoreAnswer answer);
  WatchResult admit(WatchResult answer, const StoreRevision& after);
  /// Answers a write whose condition is of an earlier epoch with a conflict and the present object.
  void answerWithConflict(const std::string& kind, const std::string& name, AnswerCallback done);
  /// @return the callback for a call without a condition.
  AnswerCallback wrapUnconditional(AnswerCallback done);
  /// @return the callback for a conditional write.
  AnswerCallback wrapConditional(const StoreRevision& condition, AnswerCallback done);
  /// @return the callback for a query for changes since a revision.
  WatchCallback wrapWatch(const StoreRevision& after, WatchCallback done);

  MetadataStore& store_;
  Events events_;
  StoreEpoch epoch_ = 0;
  /// Set to false by the destructor, for answers that arrive afterwards.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
