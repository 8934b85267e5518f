#pragma once

/// @file
/// Zones whose servers operators have evacuated: they are to get no requests and no keys.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "shedlever/metadata_store.h"
#include "shedlever/router_frames.h"

namespace shedlever {

/// Each evacuated zone has one object in the store, named after the zone; removing the object ends the evacuation.
/// Until the objects have been read once the state is unknown, which differs from no evacuation.
class EvacuatedZones {
 public:
  /// Starts a complete listing: zones that are not in it are no longer evacuated. A store that was restored from a
  /// backup may lack objects that operators will write again, so objects of epochs before `epoch` are kept until
  /// `dropEpochsBefore`.
  void beginList(StoreEpoch epoch = 0);
  /// The listing is complete.
  void endList();
  /// Handles an object that was listed, written or removed. Ignored if older than the known state of the object.
  void onObject(const MetadataObject& object, bool deleted);

  /// Adopts what another process knows. Ignored once the evacuated zones are known here.
  void adoptPeerCopies(const std::vector<ObjectCopy>& peer_copies);
  /// @return the known objects, for other processes.
  std::vector<ObjectCopy> copies() const;

  /// Drops objects of earlier epochs, once operators have had time to write again what the restored store lacked.
  /// @return whether any object was dropped.
  bool dropEpochsBefore(StoreEpoch epoch);

  /// @return whether it is known which zones are evacuated.
  bool known() const { return known_; }
  /// @return whether the zones are known and no listing is in progress; a partial listing lacks zones that are
  ///   evacuated.
  bool isComplete() const { return known_ && !listing_; }
  bool contains(const ZoneName& zone) const { return objects_.contains(zone.value); }
  std::set<ZoneName> zones() const;

 private:
  bool known_ = false;
  bool listing_ = false;
  std::map<std::string, MetadataObject> objects_;
};

}  // namespace shedlever
