#include "source/core/settings/settings_write.h"

#include <algorithm>

#include "source/core/settings/settings_tree.h"

namespace shedlever {

namespace {

/// What the chain of versions shows about a write that replaces version `expected`.
enum class ChainStatus : std::uint8_t {
  Written,     ///< the change is in the chain
  NotWritten,  ///< all versions after `expected` are known and none is the change
  Incomplete,  ///< a version in between is unknown: stale reads, or the history does not reach back far enough
};

/// Document and history as last read.
struct StoredState {
  StoredObject document;
  ChangeInfo change;
  ObjectVersion history_version = 0;
  SettingsHistory history;
};

struct ChainSearch {
  ChainStatus status = ChainStatus::Incomplete;
  /// For Written: the version that the change created.
  SettingsVersion version = 0;
};

/// Follows the versions from the stored one down to `expected`.
ChainSearch searchVersionChain(const StoredState& state, const std::string& change_id, SettingsVersion expected) {
  SettingsVersion version = state.document.version;
  ChangeInfo change = state.change;
  while (version > expected) {
    if (change.id == change_id) {
      return {ChainStatus::Written, version};
    }
    if (change.id.empty()) {
      return {ChainStatus::Incomplete, 0};
    }
    if (change.base_version == expected) {
      return {ChainStatus::NotWritten, 0};
    }
    const HistoryVersion* previous = state.history.find(change.base_version);
    if (previous == nullptr || change.base_version < expected || change.base_version >= version) {
      return {ChainStatus::Incomplete, 0};
    }
    version = previous->version;
    change = previous->change;
  }
  return {ChainStatus::NotWritten, 0};
}

}  // namespace

/// Reads the document, then its history, then either finishes or performs one write, until the outcome is certain.
class SettingsWrite::Impl : public std::enable_shared_from_this<SettingsWrite::Impl> {
 public:
  Impl(SettingsWriteRequest request, ObjectStore& store, RetryTimer& timer, const SettingsWriteLimits& limits)
      : request_(std::move(request)),
        content_(contentOf(request_.text)),
        base_change_(changeOf(request_.text)),
        store_(store),
        timer_(timer),
        limits_(limits),
        retry_delay_(limits.initial_delay),
        min_document_version_(
            request_.base_version.value_or(base_change_.id.empty() ? 0 : base_change_.base_version + 1)) {}

  void start(std::function<void(const SettingsWriteOutcome&)> done) {
    done_ = std::move(done);
    if (content_.is_null()) {
      finish({.status = SettingsWriteStatus::NotAccepted, .message = "the text is not a JSON object"});
      return;
    }
    readDocument();
  }

 private:
  std::string documentObject() const { return kSettingsPrefix + request_.document.value; }
  std::string historyObject() const { return kHistoryPrefix + request_.document.value; }

  /// @return a callback that does nothing after the write was destroyed.
  template <class Result>
  std::function<void(const Result&)> weakCallback(void (Impl::*member)(const Result&)) {
    return [weak = weak_from_this(), member](const Result& result) {
      if (const std::shared_ptr<Impl> self = weak.lock()) {
        (self.get()->*member)(result);
      }
    };
  }

  void readDocument() { store_.get(documentObject(), weakCallback(&Impl::onDocument)); }

  void onDocument(const ReadResult& result) {
    const ObjectVersion version = result.status == ReadStatus::Found ? result.object.version : 0;
    if (result.status == ReadStatus::Unavailable) {
      retry("the store does not respond");
      return;
    }
    if (version < min_document_version_) {
      retry("the store returned an older version than the one that the change is based on");
      return;
    }
    min_document_version_ = version;
    state_.document = version == 0 ? StoredObject{} : result.object;
    state_.change = changeOf(state_.document.value);
    store_.get(historyObject(), weakCallback(&Impl::onHistory));
  }

  void onHistory(const ReadResult& result) {
    const ObjectVersion version = result.status == ReadStatus::Found ? result.object.version : 0;
    if (result.status == ReadStatus::Unavailable || version < min_history_version_) {
      retry("the document's history cannot be read");
      return;
    }
    min_history_version_ = version;
    std::optional<SettingsHistory> history =
        version == 0 ? SettingsHistory() : SettingsHistory::parse(result.object.value);
    if (!history) {
      giveUp(historyObject() + " is malformed");
      return;
    }
    state_.history_version = version;
    state_.history = std::move(*history);
    decide();
  }

  /// Called when document and history are known: finishes, or performs the next step.
  void decide() {
    if (const std::optional<SettingsWriteOutcome> outcome = findAcceptedOutcome()) {
      finish(*outcome);
    } else if (put_sent_) {
      decideAfterPut();
    } else if (contentOf(state_.document.value) == content_) {
      finish({.status = SettingsWriteStatus::Unchanged, .version = state_.document.version});
    } else if (!isBasedOnStored()) {
      finishWithConflict();
    } else {
      write();
    }
  }

  /// @return the outcome if the change is found in the document or in the history.
  std::optional<SettingsWriteOutcome> findAcceptedOutcome() const {
    if (state_.change.id == request_.change.id) {
      return accepted(state_.document.version, state_.change.base_version);
    }
    // A version is recorded before it is replaced, so each version in the history was stored.
    const HistoryVersion* recorded = state_.history.findChange(request_.change.id);
    if (recorded == nullptr) {
      return std::nullopt;
    }
    return accepted(recorded->version, recorded->change.base_version);
  }

  static SettingsWriteOutcome accepted(SettingsVersion version, SettingsVersion base_version) {
    return {.status = SettingsWriteStatus::Accepted, .version = version, .base_version = base_version};
  }

  void decideAfterPut() {
    if (state_.document.version == expected_version_) {
      write();
      return;
    }
    const ChainSearch search = searchVersionChain(state_, request_.change.id, expected_version_);
    if (search.status == ChainStatus::NotWritten && state_.document.version > expected_version_) {
      finishWithConflict();
    } else {
      retry("a version between the stored one and the replaced one is unknown");
    }
  }

  bool isBasedOnStored() const {
    if (request_.base_version) {
      return *request_.base_version == state_.document.version;
    }
    if (state_.document.version == 0) {
      return base_change_.id.empty();
    }
    return !base_change_.id.empty() && base_change_.id == state_.change.id;
  }

  void write() {
    expected_version_ = state_.document.version;
    if (expected_version_ != 0 && state_.history.find(expected_version_) == nullptr) {
      SettingsHistory history = state_.history;
      history.record(expected_version_, state_.document.value);
      store_.putIfVersion(historyObject(), state_.history_version, history.text(),
                          weakCallback(&Impl::onHistoryWritten));
      return;
    }
    putDocument();
  }

  void onHistoryWritten(const WriteResult& result) {
    if (result.status == WriteStatus::Accepted) {
      min_history_version_ = result.version;
      putDocument();
      return;
    }
    if (result.status == WriteStatus::Conflict) {
      min_history_version_ = std::max(min_history_version_, result.version);
    }
    retry("the document's history cannot be written");
  }

  void putDocument() {
    put_sent_ = true;
    ChangeInfo change = request_.change;
    change.base_version = expected_version_;
    store_.putIfVersion(documentObject(), expected_version_, withChange(request_.text, change),
                        weakCallback(&Impl::onDocumentWritten));
  }

  void onDocumentWritten(const WriteResult& result) {
    if (result.status == WriteStatus::Accepted) {
      finish(accepted(result.version, expected_version_));
      return;
    }
    if (result.status == WriteStatus::Conflict) {
      min_document_version_ = std::max(min_document_version_, result.version);
    }
    retry("the response to the write was lost");
  }

  void retry(const char* reason) {
    if (++attempts_ >= limits_.max_attempts) {
      giveUp(reason);
      return;
    }
    timer_.runAfter(retry_delay_, [weak = weak_from_this()] {
      if (const std::shared_ptr<Impl> self = weak.lock()) {
        self->readDocument();
      }
    });
    retry_delay_ = std::min(2 * retry_delay_, limits_.max_delay);
  }

  /// The outcome is only unknown if a write of the document was sent.
  void giveUp(const std::string& reason) {
    const SettingsWriteStatus status = put_sent_ ? SettingsWriteStatus::Unknown : SettingsWriteStatus::NotAccepted;
    finish({.status = status, .message = reason});
  }

  /// @return the version that the operator started from; null if its text is not in the history.
  const HistoryVersion* findBaseVersion() const {
    if (put_sent_) {
      return state_.history.find(expected_version_);
    }
    return request_.base_version ? state_.history.find(*request_.base_version)
                                 : state_.history.findChange(base_change_.id);
  }

  void finishWithConflict() {
    SettingsConflict conflict;
    conflict.current_version = state_.document.version;
    conflict.current_change = state_.change;
    const Json current = conflict.current_version == 0 ? Json::object() : contentOf(state_.document.value);
    if (const HistoryVersion* base = findBaseVersion()) {
      conflict.base_version = base->version;
      conflict.theirs = diffJson(contentOf(base->text), current);
      conflict.ours = diffJson(contentOf(base->text), content_);
    } else {
      conflict.theirs = diffJson(content_, current);
    }
    finish({.status = SettingsWriteStatus::Conflict, .message = conflictMessage(conflict), .conflict = conflict});
  }

  std::string conflictMessage(const SettingsConflict& conflict) const {
    if (conflict.current_version == 0) {
      return "the document no longer exists";
    }
    if (!put_sent_ && !request_.base_version && base_change_.id.empty()) {
      return "the document exists, and the file does not say which version it is based on; "
             "start from `config get`, or give --base VERSION";
    }
    return "the document was changed in the meantime";
  }

  void finish(const SettingsWriteOutcome& outcome) {
    const auto done = std::move(done_);
    done_ = nullptr;
    done(outcome);
  }

  const SettingsWriteRequest request_;
  const Json content_;
  const ChangeInfo base_change_;
  ObjectStore& store_;
  RetryTimer& timer_;
  const SettingsWriteLimits limits_;
  Duration retry_delay_;
  /// A read that returns a lower version is stale.
  ObjectVersion min_document_version_;
  std::uint32_t attempts_ = 0;
  StoredState state_;
  ObjectVersion min_history_version_ = 0;
  /// Version that the write replaces; valid once `put_sent_` is true.
  SettingsVersion expected_version_ = 0;
  bool put_sent_ = false;
  std::function<void(const SettingsWriteOutcome&)> done_;
};

SettingsWrite::SettingsWrite(SettingsWriteRequest request, ObjectStore& store, RetryTimer& timer,
                             SettingsWriteLimits limits)
    : impl_(std::make_shared<Impl>(std::move(request), store, timer, limits)) {}

SettingsWrite::~SettingsWrite() = default;

void SettingsWrite::start(std::function<void(const SettingsWriteOutcome&)> done) { impl_->start(std::move(done)); }

}  // namespace shedlever
