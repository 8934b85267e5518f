#include "source/core/router/directory/evacuated_zones.h"

namespace shedlever {

void EvacuatedZones::beginList(StoreEpoch epoch) {
  std::erase_if(objects_, [epoch](const auto& entry) { return entry.second.revision.epoch >= epoch; });
  listing_ = true;
}

void EvacuatedZones::endList() {
  known_ = true;
  listing_ = false;
}

void EvacuatedZones::onObject(const MetadataObject& object, bool deleted) {
  const auto found = objects_.find(object.name);
  if (found != objects_.end() && object.revision < found->second.revision) {
    return;
  }
  if (deleted) {
    objects_.erase(object.name);
  } else {
    objects_[object.name] = object;
  }
}

bool EvacuatedZones::dropEpochsBefore(StoreEpoch epoch) {
  return std::erase_if(objects_, [epoch](const auto& entry) { return entry.second.revision.epoch < epoch; }) > 0;
}

void EvacuatedZones::adoptPeerCopies(const std::vector<ObjectCopy>& peer_copies) {
  if (known_) {
    return;
  }
  for (const ObjectCopy& copy : peer_copies) {
    objects_[copy.name] = {copy.name, copy.revision, copy.value};
  }
  known_ = true;
}

std::vector<ObjectCopy> EvacuatedZones::copies() const {
  std::vector<ObjectCopy> copies;
  for (const auto& [name, object] : objects_) {
    copies.push_back({object.name, object.revision, object.value});
  }
  return copies;
}

std::set<ZoneName> EvacuatedZones::zones() const {
  std::set<ZoneName> zones;
  for (const auto& [name, object] : objects_) {
    zones.insert(ZoneName(name));
  }
  return zones;
}

}  // namespace shedlever
