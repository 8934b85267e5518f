#pragma once

/// @file
/// Writes one settings document without overwriting another operator's change, and determines the outcome.
///
/// The write replaces exactly the version that the operator started from, after that version was recorded in the
/// document's history. After a lost response the writer reads document and history again and looks for its change id:
/// since every replaced version is in the history, the chain of versions shows whether the write succeeded. While the
/// document is still at the old version, an earlier write may still arrive, so the write is repeated, not abandoned.

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

/// Runs a callback after a delay; injected, so that code without access to a clock can wait.
class RetryTimer {
 public:
  virtual ~RetryTimer() = default;
  virtual void runAfter(Duration delay, std::function<void()> callback) = 0;
};

/// A document to be written.
struct SettingsWriteRequest {
  DocumentName document;
  /// A JSON object. Change metadata in it identifies the version that the operator started from.
  std::string text;
  /// The version that the operator started from, if given explicitly; takes precedence over the change in `text`.
  std::optional<SettingsVersion> base_version;
  /// Id, author and time of the new change; its `base_version` is set by the writer.
  ChangeInfo change;
};

enum class SettingsWriteStatus : std::uint8_t {
  Accepted,     ///< written as `version`, which may have been replaced since
  Unchanged,    ///< the stored document already has this content; nothing was written
  Conflict,     ///< not written: the stored version is not the one that the operator started from
  NotAccepted,  ///< not written for another reason, given in `message`
  Unknown,      ///< it may or may not have been written
};

/// The concurrent change of another operator.
struct SettingsConflict {
  /// Stored version; 0 if the document does not exist.
  SettingsVersion current_version = 0;
  ChangeInfo current_change;
  /// Version that the operator started from; 0 if unknown.
  SettingsVersion base_version = 0;
  /// Differences of the stored version from `base_version`; from the operator's text if `base_version` is unknown.
  std::vector<JsonDifference> theirs;
  /// Differences of the operator's text from `base_version`; empty if `base_version` is unknown.
  std::vector<JsonDifference> ours;
};

struct SettingsWriteOutcome {
  SettingsWriteStatus status = SettingsWriteStatus::Unknown;
  SettingsVersion version = 0;
  /// For Accepted: the version that was replaced; 0 if the document was created.
  SettingsVersion base_version = 0;
  /// Reason, for Conflict, NotAccepted and Unknown.
  std::string message = {};
  /// Set for Conflict.
  std::optional<SettingsConflict> conflict = std::nullopt;
};

/// Limits and backoff of the writer.
struct SettingsWriteLimits {
  /// Rounds of reading and writing before the writer gives up.
  std::uint32_t max_attempts = 20;
  /// Delay after a failed round, doubled each time up to `max_delay`.
  Duration initial_delay = std::chrono::milliseconds(50);
  Duration max_delay = std::chrono::seconds(2);
};

/// One write of one document.
class SettingsWrite {
 public:
  /// @param store, timer must outlive the write.
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
