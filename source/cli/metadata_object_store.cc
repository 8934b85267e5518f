#include "source/cli/metadata_object_store.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "source/interface/settings_config_protocol.h"

namespace shedlever {

namespace {

constexpr const char* kKindPrefix = "shedlever-";
constexpr int kIndent = 2;

/// The location of an object in the metadata store.
struct ObjectLocation {
  std::string kind;
  std::string name;
};

ObjectLocation locationOf(const std::string& name) {
  const std::size_t slash = name.find('/');
  return {kKindPrefix + name.substr(0, slash), settingsObjectName(DocumentName(name.substr(slash + 1)))};
}

/// Indents JSON, because the store does not preserve the layout.
std::string indentJson(const std::string& value) {
  const nlohmann::ordered_json document = nlohmann::ordered_json::parse(value, nullptr, false);
  return document.is_discarded() ? value : document.dump(kIndent) + "\n";
}

WriteResult resultOf(const StoreAnswer& answer) {
  switch (answer.status) {
    case StoreStatus::Done:
      return {WriteStatus::Accepted, answer.object.revision.count};
    case StoreStatus::Conflict:
      return {WriteStatus::Conflict, answer.object.revision.count};
    case StoreStatus::Absent:
      return {WriteStatus::Conflict, 0};
    case StoreStatus::Refused:
    case StoreStatus::Unknown:
      break;
  }
  return {WriteStatus::Unknown, 0};
}

}  // namespace

void MetadataObjectStore::get(const std::string& name, std::function<void(const ReadResult&)> done) {
  const ObjectLocation location = locationOf(name);
  store_.get(location.kind, location.name, [name, done = std::move(done)](const StoreAnswer& answer) {
    if (answer.status == StoreStatus::Done) {
      done({ReadStatus::Found, {name, answer.object.revision.count, indentJson(answer.object.value)}});
    } else {
      done({answer.status == StoreStatus::Absent ? ReadStatus::Absent : ReadStatus::Unavailable, {}});
    }
  });
}

void MetadataObjectStore::putIfVersion(const std::string& name, ObjectVersion expected, const std::string& value,
                                       std::function<void(const WriteResult&)> done) {
  const ObjectLocation location = locationOf(name);
  const MetadataObject object{location.name, expected, value};
  const auto on_answer = [done = std::move(done)](const StoreAnswer& answer) { done(resultOf(answer)); };
  if (expected == 0) {
    store_.create(location.kind, object, on_answer);
  } else {
    store_.replace(location.kind, object, on_answer);
  }
}

void MetadataObjectStore::list(const std::string& prefix, std::function<void(const ListResult&)> done) {
  const std::string kind = kKindPrefix + prefix.substr(0, prefix.find('/'));
  store_.list(kind, ListFreshness::Latest, [prefix, done = std::move(done)](const StoreListing& listing) {
    ListResult result{listing.available, listing.revision.count, {}};
    for (const MetadataObject& object : listing.objects) {
      if (const auto document = documentNameFromObject(object.name)) {
        result.objects.push_back({prefix + document->value, object.revision.count, indentJson(object.value)});
      }
    }
    done(result);
  });
}

}  // namespace shedlever
