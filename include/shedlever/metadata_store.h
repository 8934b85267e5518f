#pragma once

/// @file
/// Client interface of the platform's metadata store, which holds the state that must survive the failure of all
/// processes: objects identified by kind and name, each with the revision of its last change. The store is
/// linearizable. A call without a response may still be applied, even seconds later, if its condition then holds. The
/// store may be restored from a backup, which increments its epoch.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "shedlever/store_revision.h"
#include "shedlever/time.h"

namespace shedlever {

struct MetadataObject {
  std::string name;
  StoreRevision revision;
  /// JSON text.
  std::string value;
};

enum class StoreStatus : std::uint8_t {
  Done,      ///< the call was applied; `object` is the result
  Absent,    ///< the object does not exist; nothing was changed
  Conflict,  ///< the condition did not hold; `object` is the current object; nothing was changed
  Refused,   ///< the store rejected the call and did nothing; it may be retried later
  Unknown,   ///< no response: the call may have been applied, or may be applied later
};

struct StoreAnswer {
  StoreStatus status = StoreStatus::Unknown;
  MetadataObject object;
  /// The epoch reported with the response; 0 if none was reported.
  StoreEpoch epoch = 0;
};

struct StoreListing {
  /// False if there was no response; the other members are then meaningless.
  bool available = false;
  /// Revision of the list; a watch continues from here.
  StoreRevision revision;
  std::vector<MetadataObject> objects;
  /// The epoch reported with the response; 0 if none was reported.
  StoreEpoch epoch = 0;
};

enum class WatchStatus : std::uint8_t {
  Events,       ///< zero or more changes in order
  HistoryGone,  ///< changes were missed; the kind must be listed again
  Unavailable,  ///< no response
};

struct MetadataEvent {
  bool deleted = false;
  MetadataObject object;
};

struct WatchResult {
  WatchStatus status = WatchStatus::Unavailable;
  StoreRevision revision;
  std::vector<MetadataEvent> events;
  /// The epoch reported with the response; 0 if none was reported.
  StoreEpoch epoch = 0;
};

/// Required consistency of a list.
enum class ListFreshness : std::uint8_t {
  Latest,      ///< includes all changes made before the call
  MayBeStale,  ///< may be seconds old; much cheaper for the store
};

/// Asynchronous client. Each callback runs exactly once, from the event loop, never inside the call that registered it.
class MetadataStore {
 public:
  virtual ~MetadataStore() = default;
  using AnswerCallback = std::function<void(StoreAnswer)>;
  using ListCallback = std::function<void(StoreListing)>;
  using WatchCallback = std::function<void(WatchResult)>;

  virtual void get(const std::string& kind, const std::string& name, AnswerCallback done) = 0;
  virtual void create(const std::string& kind, const MetadataObject& object, AnswerCallback done) = 0;
  /// Replaces the value if the object still has `object.revision`, or unconditionally if that revision is 0.
  virtual void replace(const std::string& kind, const MetadataObject& object, AnswerCallback done) = 0;
  /// Removes the object if it still has the given revision.
  virtual void remove(const std::string& kind, const std::string& name, StoreRevision revision,
                      AnswerCallback done) = 0;
  virtual void list(const std::string& kind, ListFreshness freshness, ListCallback done) = 0;
  /// Long poll: waits at most `wait` for changes of a kind after a revision.
  virtual void watch(const std::string& kind, StoreRevision after, Duration wait, WatchCallback done) = 0;
  /// As `watch`, but the store responds immediately and a separate connection is used: the connection of a watch may
  /// have been lost without notice.
  virtual void check(const std::string& kind, StoreRevision after, WatchCallback done) = 0;
  /// @return the latest known epoch; 0 while none has been reported.
  virtual StoreEpoch epoch() const { return 0; }
};

}  // namespace shedlever
