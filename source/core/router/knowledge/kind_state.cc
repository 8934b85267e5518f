#include "source/core/router/knowledge/kind_state.h"

namespace shedlever {

bool KindState::take(const MetadataObject& object, bool deleted) {
  seen_ = std::max(seen_, object.revision);
  Known& known = objects_[object.name];
  if (object.revision <= known.revision) {
    return false;
  }
  known = {object.revision, deleted ? std::string() : object.value, deleted};
  return true;
}

std::vector<ObjectNews> KindState::changedAfter(StoreRevision revision) const {
  std::vector<ObjectNews> changed;
  for (const auto& [name, known] : objects_) {
    if (known.revision > revision) {
      changed.push_back({{name, known.revision, known.value}, known.deleted});
    }
  }
  return changed;
}

}  // namespace shedlever
