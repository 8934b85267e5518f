#pragma once

/// @file
/// Writes one settings document so that no operator's work is lost and the outcome is told as proved.
///
/// The write replaces exactly the version that the operator started from. Before it, that version is
/// recorded in the document's history. When an answer is lost, the writer reads document and history again
/// and looks for its change id; since every replaced version is in the history, the chain of versions tells
/// whether the write was made. While the document is still at the old version a write may be on its way, so
/// it is sent again and never called off.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "shedlever/object_store.h"
#include "shedlever/settings.h"
#include "source/core/settings/settings_diff.h"
#include "source/core/settings/settings_history.h"

namespace shedlever {

/// Runs something later; lets cores wait without a clock of their own.
class RetryTimer {
 public:
  virtual ~RetryTimer() = default;
  virtual void runAfter(Duration delay, std::function<void()> callback) = 0;
};

/// What is to be written.
struct SettingsWriteRequest {
  DocumentName document;
  /// A JSON object. A change that it carries names the version that the operator started from.
  std::string text;
  /// The version that the operator started from, if given otherwise; goes before the text's change.
  std::optional<SettingsVersion> base_version;
  /// id, author and time of the new change; `base_version` is filled in.
  ChangeInfo change;
};

enum class SettingsWriteStatus : std::uint8_t {
  Accepted,     ///< written as `version`; may have been replaced by a later one since
  Unchanged,    ///< the stored document says the same already; nothing was written
  Conflict,     ///< proved not written: the document is not what the operator started from
  NotAccepted,  ///< proved not written for another reason; `message` says which
  Unknown,      ///< it may or may not have been written
};

/// What another operator did meanwhile.
struct SettingsConflict {
  /// The stored version and who made it; 0 when the document does not exist.
  SettingsVersion current_version = 0;
  ChangeInfo current_change;
  /// Version that the operator started from; 0 when that is not known.
  SettingsVersion base_version = 0;
  /// Changes since the operator's version; against the operator's text when that version is not known.
  std::vector<JsonDifference> theirs;
  /// The operator's own changes; empty when the version is not known.
  std::vector<JsonDifference> ours;
};

struct SettingsWriteOutcome {
  SettingsWriteStatus status = SettingsWriteStatus::Unknown;
  SettingsVersion version = 0;
  /// With Accepted: the version that was replaced; 0 when there was none.
  SettingsVersion base_version = 0;
  std::string message = {};
  /// With Conflict.
  std::optional<SettingsConflict> conflict = std::nullopt;
};

/// How long the writer goes on.
struct SettingsWriteLimits {
  /// Rounds of reading and writing before it gives up.
  std::uint32_t max_attempts = 20;
  /// Wait after a failed round, doubled each time up to the longest.
  Duration initial_delay = std::chrono::milliseconds(50);
  Duration max_delay = std::chrono::seconds(2);
};

/// One write of one document.
class SettingsWrite {
 public:
  /// @param store, timer outlive the write.
  SettingsWrite(SettingsWriteRequest request, ObjectStore& store, RetryTimer& timer, SettingsWriteLimits limits = {});
  ~SettingsWrite();
  SettingsWrite(const SettingsWrite&) = delete;
  SettingsWrite& operator=(const SettingsWrite&) = delete;

  /// @param done runs exactly once, unless the write is destroyed first.
  void start(std::function<void(const SettingsWriteOutcome&)> done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace shedlever
