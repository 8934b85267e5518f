#include "test/support/fake_object_store.h"

namespace shedlever::test {

namespace {

/// Decrements the count of a fault.
/// @return whether the fault applies to this call.
bool consumeFault(std::uint32_t& fault) {
  if (fault == 0) {
    return false;
  }
  --fault;
  return true;
}

bool startsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

ReadResult FakeObjectStore::read(const std::string& name) {
  if (faults.down || consumeFault(faults.unavailable_reads)) {
    return {};
  }
  const std::vector<StoredObject>& versions = objects_[name];
  const std::size_t hidden_versions = consumeFault(faults.stale_reads) ? 1 : 0;
  if (versions.size() <= hidden_versions) {
    return {ReadStatus::Absent, {}};
  }
  return {ReadStatus::Found, versions[versions.size() - 1 - hidden_versions]};
}

WriteResult FakeObjectStore::write(const std::string& name, ObjectVersion expected, const std::string& value) {
  const std::vector<StoredObject>& versions = objects_[name];
  const ObjectVersion current = versions.empty() ? 0 : versions.back().version;
  if (current != expected) {
    return {WriteStatus::Conflict, current};
  }
  return {WriteStatus::Accepted, put(name, value)};
}

ObjectVersion FakeObjectStore::put(const std::string& name, const std::string& value) {
  const StoredObject object{name, ++last_version_, value};
  objects_[name].push_back(object);
  return object.version;
}

void FakeObjectStore::get(const std::string& name, std::function<void(const ReadResult&)> done) {
  queue_.post([this, name, done = std::move(done)] { done(read(name)); });
}

void FakeObjectStore::putIfVersion(const std::string& name, ObjectVersion expected, const std::string& value,
                                   std::function<void(const WriteResult&)> done) {
  queue_.post([this, name, expected, value, done = std::move(done)] {
    if (faults.down || consumeFault(faults.lost_writes)) {
      done({});
    } else if (consumeFault(faults.late_writes)) {
      queue_.post([this, name, expected, value] { write(name, expected, value); });
      done({});
    } else {
      const WriteResult result = write(name, expected, value);
      done(consumeFault(faults.lost_responses) ? WriteResult{} : result);
    }
  });
}

void FakeObjectStore::list(const std::string& prefix, std::function<void(const ListResult&)> done) {
  queue_.post([this, prefix, done = std::move(done)] {
    ListResult result;
    result.available = !faults.down && !consumeFault(faults.unavailable_reads);
    result.version = result.available ? last_version_ : 0;
    for (const auto& [name, versions] : objects_) {
      if (result.available && !versions.empty() && startsWith(name, prefix)) {
        result.objects.push_back(versions.back());
      }
    }
    done(result);
  });
}

}  // namespace shedlever::test
