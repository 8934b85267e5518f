#pragma once

/// @file
/// Decides whether claims may be granted in the present epoch of the store. A backup may lack claims. Processes that
/// run rewrite theirs, but those of a process that has ended are lost, and no one knows their keys.

#include <cstdint>
#include <string>

#include "shedlever/identifiers.h"
#include "shedlever/metadata_store.h"
#include "source/core/router/claims/claim_config.h"
#include "source/core/router/directory/process_end_tracker.h"

namespace shedlever {

/// Kind of the marks of epochs that began long ago. No process watches this kind.
inline constexpr const char* kClaimEpochKind = "shedlever-claim-epochs";

/// @return name of an epoch's mark.
std::string claimEpochName(StoreEpoch epoch);

/// What an unclaimed key of the store means.
enum class UnclaimedKey : std::uint8_t {
  Free,       ///< no request with the key has run
  Undecided,  ///< another process may rewrite its claim of the key
  MayBeLost,  ///< a request with the key may have run, and its claim may be lost with the process that held it
};

/// A process that was running at the restore knows its time. Keys count as lost for the largest age of a backup if a
/// process may have ended in as long a time before the restore, or since. A process that started later finds out from
/// the epoch's mark, which is written once the epoch is older than that. Without the mark, keys count as lost for the
/// same time after it has observed the epoch.
class ClaimEpochGuard {
 public:
  /// @param store, clock, process_ends must outlive the guard.
  ClaimEpochGuard(const NodeName& self, MetadataStore& store, const Clock& clock,
                  const ProcessEndTracker& process_ends);

  void setConfig(const ClaimConfig& config) { config_ = config; }

  /// Requests may be claimed here: the guard reads and writes marks from now on.
  void enable() { enabled_ = true; }

  /// The store was restored from a backup.
  void onStoreRestored();

  /// Reads and writes the mark of the present epoch when due.
  void tick(TimePoint now);

  /// @return what an unclaimed key means now.
  UnclaimedKey unclaimedKey(TimePoint now) const;
  /// @return whether a claim may be lost whatever the store contains later, also while other claims are rewritten.
  bool mayHaveLostClaims(TimePoint now) const;
  /// @return when `Undecided` ends; a time in the past if that depends on the mark.
  TimePoint undecidedUntil() const;

 private:
  /// Notes when an epoch was first observed that began before this process was connected to the store.
  void observeEpoch(TimePoint now);
  /// @return whether this store was never restored, or does not report epochs.
  bool isFirstEpoch() const;
  bool isMarked() const { return marked_epoch_ == store_.epoch(); }
  /// @return whether the decision depends on a mark that was not read yet.
  bool awaitsMark() const { return !observed_restore_ && !isMarked() && unmarked_epoch_ != store_.epoch(); }
  /// @return when the present epoch is older than the largest age of a backup for certain.
  TimePoint lostUntil() const { return began_at_ + config_.max_backup_age; }
  void readMark(TimePoint now);
  void writeMark(TimePoint now);

  MetadataStore& store_;
  const Clock& clock_;
  const ProcessEndTracker& process_ends_;
  ClaimConfig config_;
  /// Part of `epoch_mark_spread` after which this process writes a mark, in thousandths.
  int mark_delay_permille_ = 0;
  bool enabled_ = false;
  StoreEpoch observed_epoch_ = 0;
  /// Latest time at which the observed epoch may have begun: its first observation by this process.
  TimePoint began_at_{};
  /// Whether this process ran when the present epoch began.
  bool observed_restore_ = false;
  /// Epoch whose mark is known to exist; 0 if none.
  StoreEpoch marked_epoch_ = 0;
  /// Epoch whose mark is known to have been absent; 0 if none.
  StoreEpoch unmarked_epoch_ = 0;
  bool in_flight_ = false;
  TimePoint next_call_at_{};
};

}  // namespace shedlever
