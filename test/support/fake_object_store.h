#pragma once

/// @file
/// An object store in memory, with faults. Answers wait in an event queue until the test runs them.

#include <map>
#include <string>
#include <vector>

#include "shedlever/object_store.h"
#include "test/support/event_queue.h"

namespace shedlever::test {

/// Faults of the next calls; each number counts down with each use.
struct StoreFaults {
  /// No call is answered with more than "unavailable", and nothing is written.
  bool down = false;
  std::uint32_t unavailable_reads = 0;
  /// Reads that show the version before the present one.
  std::uint32_t stale_reads = 0;
  /// Writes that are made, but answered as unknown.
  std::uint32_t lost_responses = 0;
  /// Writes that are answered as unknown and made later, if their version still holds then.
  std::uint32_t late_writes = 0;
  /// Writes that are answered as unknown and never made.
  std::uint32_t lost_writes = 0;
};

class FakeObjectStore final : public ObjectStore {
 public:
  /// @param queue outlives the store.
  explicit FakeObjectStore(EventQueue& queue) : queue_(queue) {}

  void get(const std::string& name, std::function<void(const ReadResult&)> done) override;
  void putIfVersion(const std::string& name, ObjectVersion expected, const std::string& value,
                    std::function<void(const WriteResult&)> done) override;
  void list(const std::string& prefix, std::function<void(const ListResult&)> done) override;

  StoreFaults faults;

  /// Writes at once, as another writer would. @return the new version.
  ObjectVersion put(const std::string& name, const std::string& value);

  /// @return every version that the object ever had, ascending.
  const std::vector<StoredObject>& versionsOf(const std::string& name) { return objects_[name]; }

 private:
  ReadResult read(const std::string& name);
  WriteResult write(const std::string& name, ObjectVersion expected, const std::string& value);

  EventQueue& queue_;
  std::map<std::string, std::vector<StoredObject>> objects_;
  ObjectVersion last_version_ = 0;
};

}  // namespace shedlever::test
