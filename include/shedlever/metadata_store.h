#pragma once

/// @file
/// The store of the platform that keeps what must outlast all processes: objects by kind and name, each with the
/// revision of its last change. It is linearizable; a call without an answer may be carried out, even seconds later
/// if its condition still holds. It may come back from a copy of an earlier state; its epoch rises then.

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
  Done,      ///< carried out; `object` is the result
  Absent,    ///< there is no such object; nothing was changed
  Conflict,  ///< the condition did not hold, `object` is as it stands; nothing was changed
  Refused,   ///< the store refused the call and did nothing; try again later
  Unknown,   ///< no answer: it may have been carried out, or may be later
};

struct StoreAnswer {
  StoreStatus status = StoreStatus::Unknown;
  MetadataObject object;
  /// As told with the answer; 0: none was told.
  StoreEpoch epoch = 0;
};

struct StoreListing {
  /// False when there was no answer; nothing is known then.
  bool available = false;
  /// Revision from which a watch continues.
  StoreRevision revision;
  std::vector<MetadataObject> objects;
  /// As told with the answer; 0: none was told.
  StoreEpoch epoch = 0;
};

enum class WatchStatus : std::uint8_t {
  Events,       ///< zero or more changes, in order
  HistoryGone,  ///< changes were missed: list anew
  Unavailable,  ///< no answer
};

struct MetadataEvent {
  bool deleted = false;
  MetadataObject object;
};

struct WatchResult {
  WatchStatus status = WatchStatus::Unavailable;
  StoreRevision revision;
  std::vector<MetadataEvent> events;
  /// As told with the answer; 0: none was told.
  StoreEpoch epoch = 0;
};

/// How new a list must be.
enum class ListFreshness : std::uint8_t {
  Latest,      ///< all changes made before the call are in it
  MayBeStale,  ///< it may be seconds old; costs the store a tenth
};

/// Asynchronous client. Callbacks run from the event loop, once, never inside the call that started them.
class MetadataStore {
 public:
  virtual ~MetadataStore() = default;
  using AnswerCallback = std::function<void(StoreAnswer)>;
  using ListCallback = std::function<void(StoreListing)>;
  using WatchCallback = std::function<void(WatchResult)>;

  virtual void get(const std::string& kind, const std::string& name, AnswerCallback done) = 0;
  virtual void create(const std::string& kind, const MetadataObject& object, AnswerCallback done) = 0;
  /// Replaces the value if the object still has `object.revision`; any revision if that is 0.
  virtual void replace(const std::string& kind, const MetadataObject& object, AnswerCallback done) = 0;
  /// Removes the object if it still has that revision.
  virtual void remove(const std::string& kind, const std::string& name, StoreRevision revision,
                      AnswerCallback done) = 0;
  virtual void list(const std::string& kind, ListFreshness freshness, ListCallback done) = 0;
  /// Waits once for changes of a kind after a revision, for `wait` at most.
  virtual void watch(const std::string& kind, StoreRevision after, Duration wait, WatchCallback done) = 0;
  /// As `watch`, but answered at once, over a connection of its own: a watch that is not answered may have been lost.
  virtual void check(const std::string& kind, StoreRevision after, WatchCallback done) = 0;
  /// @return the latest epoch heard of; 0 while none was told.
  virtual StoreEpoch epoch() const { return 0; }
};

}  // namespace shedlever
