#pragma once

/// @file
/// Which version of the encoding to speak to each peer.

#include <map>

#include "shedlever/identifiers.h"
#include "shedlever/wire_version.h"
#include "source/core/router/directory/server_directory.h"

namespace shedlever {

/// A peer's node record states its newest version. Processes of earlier builds state none: they speak 6, or 5 if they
/// close streams of version 6 before their hello. What was found out is valid for one incarnation of the peer's
/// process.
class PeerVersions {
 public:
  /// @return the version for a new stream to the node.
  WireVersion versionFor(const NodeRecord& record) const;

  /// A stream of this version ended before the peer's hello. The peer may not know the version.
  /// @return whether another version is to be tried at once; false after each of them was tried.
  bool onRejected(const NodeRecord& record, WireVersion version);

  /// The peer has sent its hello on a stream of this version.
  void onAccepted(const NodeRecord& record, WireVersion version);

 private:
  struct Entry {
    Incarnation incarnation;
    WireVersion version = kUnstatedWireVersion;
  };

  static WireVersion highestVersion(const NodeRecord& record);

  /// Only nodes to which another version than the highest one is spoken.
  std::map<NodeName, Entry> lower_versions_;
};

}  // namespace shedlever
