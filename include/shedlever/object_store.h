#pragma once

/// @file
/// Named texts with versions, as operators' commands see the metadata store. It may be slow or down for long, and may
/// apply a write whose answer is lost.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "shedlever/time.h"

namespace shedlever {

/// Version of one object; 0 means "does not exist". Strictly growing over the whole store.
using ObjectVersion = std::uint64_t;

struct StoredObject {
  std::string name;
  ObjectVersion version = 0;
  std::string value;
};

/// How a read ended.
enum class ReadStatus : std::uint8_t {
  Found,
  Absent,
  Unavailable,  ///< no answer in time, or an answer that can't be trusted; nothing is known
};

struct ReadResult {
  ReadStatus status = ReadStatus::Unavailable;
  StoredObject object;
};

struct ListResult {
  /// False when there was no answer; `objects` is then empty and means nothing.
  bool available = false;
  /// Store version that the list reflects.
  ObjectVersion version = 0;
  std::vector<StoredObject> objects;
};

/// How a conditional write ended.
enum class WriteStatus : std::uint8_t {
  Accepted,  ///< written; `version` is the new version
  Conflict,  ///< not written by this call: the object has `version` (which may be an own earlier write)
  Unknown,   ///< no answer: it may or may not have been written
};

struct WriteResult {
  WriteStatus status = WriteStatus::Unknown;
  ObjectVersion version = 0;
};

/// Asynchronous client of the store. Callbacks run on the caller's event loop, exactly once, never
/// inside the call that started them, and not after the client is destroyed.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  /// @param done is told the object, or that it is absent, or that nothing is known.
  virtual void get(const std::string& name, std::function<void(const ReadResult&)> done) = 0;

  /// Writes `value` if the object's version is `expected` (0: if it does not exist).
  virtual void putIfVersion(const std::string& name, ObjectVersion expected, const std::string& value,
                            std::function<void(const WriteResult&)> done) = 0;

  /// @param prefix names that begin with it are listed.
  virtual void list(const std::string& prefix, std::function<void(const ListResult&)> done) = 0;
};

}  // namespace shedlever
