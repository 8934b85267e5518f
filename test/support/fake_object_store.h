#pragma once

/// @file
/// An in-memory object store with faults. Responses wait in an event queue until the test runs them.

#include <map>
#include <string>
#include <vector>

#include "shedlever/object_store.h"
#include "test/support/event_queue.h"

namespace shedlever::test {

/// Faults of the next calls; each count decreases with each use.
struct StoreFaults {
  /// Every call fails as unavailable, and nothing is written.
  bool down = false;
  std::uint32_t unavailable_reads = 0;
  /// Reads that return the version before the current one.
  std::uint32_t stale_reads = 0;
  /// Writes that are executed, but whose outcome is reported as unknown.
  std::uint32_t lost_responses = 0;
  /// Writes whose outcome is reported as unknown and that are executed later, if the expected version is still current.
  std::uint32_t late_writes = 0;
  /// Writes whose outcome is reported as unknown and that are never executed.
  std::uint32_t lost_writes = 0;
};

class FakeObjectStore final : public ObjectStore {
 public:
  /// @param queue must outlive the store.
  explicit FakeObjectStore(EventQueue& queue) : queue_(queue) {}

  void get(const std::string& name, std::function<void(const ReadResult&)> done) override;
  void putIfVersion(const std::string& name, ObjectVersion expected, const std::string& value,
                    std::function<void(const WriteResult&)> done) override;
  void list(const std::string& prefix, std::function<void(const ListResult&)> done) override;

  StoreFaults faults;

  /// Writes immediately, as another writer would.
  /// @return the new version.
  ObjectVersion put(const std::string& name, const std::string& value);

  /// @return all versions of the object, in ascending order.
  const std::vector<StoredObject>& versionsOf(const std::string& name) { return objects_[name]; }

 private:
  ReadResult read(const std::string& name);
  WriteResult write(const std::string& name, ObjectVersion expected, const std::string& value);

  EventQueue& queue_;
  std::map<std::string, std::vector<StoredObject>> objects_;
  ObjectVersion last_version_ = 0;
};

}  // namespace shedlever::test
