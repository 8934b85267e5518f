#pragma once

/// @file
/// Zones whose servers operators have asked to be left alone.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "shedlever/metadata_store.h"
#include "shedlever/router_frames.h"

namespace shedlever {

/// One object of the store stands for each evacuated zone, under the zone's name; the evacuation ends when it is
/// removed. Until the objects have been read once, nothing is known, which is not the same as no evacuation.
class EvacuatedZones {
 public:
  /// A whole list is about to be told: what is not in it is over. A list of a store that has come back from a copy may
  /// lack what operators will write again: what is known of earlier epochs stays until `dropEpochsBefore`.
  void beginList(StoreEpoch epoch = 0);
  /// A list was told whole.
  void endList();
  /// An object was listed, written or removed. Earlier changes of a zone, that come late, count for nothing.
  void onObject(const MetadataObject& object, bool deleted);

  /// Another process has told all that it knows. Ignored where the store itself has told more.
  void adoptPeerCopies(const std::vector<ObjectCopy>& told);
  /// @return what to tell another process.
  std::vector<ObjectCopy> copies() const;

  /// Operators have had the time to write again what the store's copy lacked: what is of earlier epochs is over.
  /// @return whether there was any.
  bool dropEpochsBefore(StoreEpoch epoch);

  /// @return whether it is known which zones are evacuated.
  bool known() const { return known_; }
  /// @return whether it is known and no list is being told: half a list says of some zones that they are not evacuated.
  bool isComplete() const { return known_ && !listing_; }
  bool contains(const ZoneName& zone) const { return objects_.contains(zone.value); }
  std::set<ZoneName> zones() const;

 private:
  bool known_ = false;
  bool listing_ = false;
  std::map<std::string, MetadataObject> objects_;
};

}  // namespace shedlever
