#pragma once

/// @file
/// The configuration in force at one process, put together from the parts that the store holds.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "shedlever/platform_ports.h"
#include "source/core/router/route_table.h"

namespace shedlever {

/// Never goes back: neither to an older part, nor, where operators count the versions, to a lower one, as a copy may
/// hold that the store has come back from.
class ActiveConfig {
 public:
  struct Events {
    /// Another configuration is in force: `routes`.
    std::function<void()> on_adopted;
    /// The parts make no configuration; the one before stays in force.
    std::function<void(const Findings&)> on_invalid;
    /// A part was told that is older than the one known, and is ignored.
    std::function<void(const MetadataObject& part, const StoreRevision& known)> on_stale_part;
    /// The store holds a lower version than the one in force, which is ignored.
    std::function<void(ConfigVersion)> on_lower_version;
  };

  /// @param protocol reads the parts. Outlives this.
  ActiveConfig(const ConfigProtocol& protocol, Events events) : protocol_(protocol), events_(std::move(events)) {}

  /// A part was listed, changed or removed.
  void onPartChanged(const MetadataObject& part, bool deleted);
  /// All parts have been told.
  void onListComplete();
  /// Another process has told all parts of the configuration in force there. Taken over if none is in force here, or if
  /// operators count the versions and it is a later one: this process may have read the store's copy alone.
  void onPeerConfig(const std::vector<ObjectCopy>& parts);

  /// @return the configuration in force; null while there is none.
  const std::shared_ptr<const RouteTable>& routes() const { return routes_; }
  /// @return its version where operators count them; 0 where versions say nothing about which is later, or none is in
  ///   force.
  ConfigVersion comparableVersion() const;
  /// @return the parts read last, with their revisions.
  const std::map<std::string, StoreRevision>& revisions() const { return decoded_revisions_; }
  /// @return the parts of the configuration in force, to be told to other processes.
  std::vector<ObjectCopy> copies() const;

 private:
  /// Reads the parts and takes them over if they are right together.
  void decodeParts();
  void adopt(RouterConfig config, const ObjectsByName& parts);

  const ConfigProtocol& protocol_;
  Events events_;
  /// As the store has them.
  ObjectsByName parts_;
  /// All parts have been told once.
  bool listed_ = false;
  /// Revisions of the parts that were read last.
  std::map<std::string, StoreRevision> decoded_revisions_;
  std::shared_ptr<const RouteTable> routes_;
  ObjectsByName active_parts_;
};

}  // namespace shedlever
