#pragma once

/// @file
/// Stores settings documents and their history as objects in the metadata store.

#include "shedlever/metadata_store.h"
#include "shedlever/object_store.h"

namespace shedlever {

/// An object name consists of a kind, a slash and the document name: "settings/deployment", "history/services/a".
class MetadataObjectStore final : public ObjectStore {
 public:
  /// @param store must outlive this object.
  explicit MetadataObjectStore(MetadataStore& store) : store_(store) {}

  void get(const std::string& name, std::function<void(const ReadResult&)> done) override;
  void putIfVersion(const std::string& name, ObjectVersion expected, const std::string& value,
                    std::function<void(const WriteResult&)> done) override;
  void list(const std::string& prefix, std::function<void(const ListResult&)> done) override;

 private:
  MetadataStore& store_;
};

}  // namespace shedlever
