#pragma once

/// @file
/// The newest state of each object of one kind, as far as a process has heard.

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "shedlever/metadata_store.h"
#include "shedlever/router_frames.h"

namespace shedlever {

/// Keeps deleted objects too, so that it can tell another process all that has changed since any revision, however far
/// back: the store itself forgets after some seconds.
class KindState {
 public:
  /// An object has been heard of. Revisions only rise: an older state than the one known changes nothing.
  /// @return whether it was news.
  bool take(const MetadataObject& object, bool deleted);

  /// All changes up to that revision have been taken.
  void noteComplete(StoreRevision at) { at_ = std::max(at_, at); }

  /// @return the newest revision of an object.
  StoreRevision seen() const { return seen_; }
  /// @return the store's revision up to which no change is missing.
  StoreRevision at() const { return at_; }

  /// @return the objects that have changed after that revision.
  std::vector<ObjectNews> changedAfter(StoreRevision revision) const;

 private:
  struct Known {
    StoreRevision revision = 0;
    std::string value;
    bool deleted = false;
  };

  std::map<std::string, Known> objects_;
  StoreRevision seen_ = 0;
  StoreRevision at_ = 0;
};

}  // namespace shedlever
