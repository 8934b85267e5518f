#pragma once

/// @file
/// The metadata store as operator commands use it: named, versioned text objects. The store may be slow or unavailable
/// for long periods and may apply a write whose response is lost.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "shedlever/time.h"

namespace shedlever {

/// Version of an object; 0 means "does not exist". Versions increase strictly across the whole store.
using ObjectVersion = std::uint64_t;

struct StoredObject {
  std::string name;
  ObjectVersion version = 0;
  std::string value;
};

/// Result of a read.
enum class ReadStatus : std::uint8_t {
  Found,
  Absent,
  Unavailable,  ///< no response in time, or an invalid one; the object's state is unknown
};

struct ReadResult {
  ReadStatus status = ReadStatus::Unavailable;
  StoredObject object;
};

struct ListResult {
  /// False if there was no response; `objects` is then empty and meaningless.
  bool available = false;
  /// Store version that the list reflects.
  ObjectVersion version = 0;
  std::vector<StoredObject> objects;
};

/// Result of a conditional write.
enum class WriteStatus : std::uint8_t {
  Accepted,  ///< written; `version` is the new version
  Conflict,  ///< not written by this call; the object has `version`, possibly from an earlier write of this client
  Unknown,   ///< no response: the value may or may not have been written
};

struct WriteResult {
  WriteStatus status = WriteStatus::Unknown;
  ObjectVersion version = 0;
};

/// Asynchronous client of the store. Callbacks run on the caller's event loop, exactly once, never inside the call that
/// registered them, and not after the client is destroyed.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  /// @param done receives the object, or that it is absent, or that its state is unknown.
  virtual void get(const std::string& name, std::function<void(const ReadResult&)> done) = 0;

  /// Writes `value` if the object's version is `expected`; 0 requires that the object does not exist.
  virtual void putIfVersion(const std::string& name, ObjectVersion expected, const std::string& value,
                            std::function<void(const WriteResult&)> done) = 0;

  /// @param prefix objects whose names begin with it are listed.
  virtual void list(const std::string& prefix, std::function<void(const ListResult&)> done) = 0;
};

}  // namespace shedlever
