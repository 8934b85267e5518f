#pragma once

/// @file
/// The active configuration of one process, assembled from the parts in the metadata store.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "shedlever/platform_ports.h"
#include "source/core/router/routes/route_table.h"

namespace shedlever {

/// The active configuration never goes back to an older part. Where operators assign the versions, it never goes back
/// to a lower version either; a store that was restored from a backup may hold one.
class ActiveConfig {
 public:
  struct Events {
    /// A new configuration is active: `routes`.
    std::function<void()> on_adopted;
    /// Values of the active configuration that could not be decoded and are not in force.
    std::function<void(const Findings&)> on_values_ignored = [](const Findings&) {};
    /// The parts could not be decoded; the previous configuration stays active.
    std::function<void(const Findings&)> on_invalid;
    /// A part older than the known one was received and ignored.
    std::function<void(const MetadataObject& part, const StoreRevision& known)> on_stale_part;
    /// The store holds a lower version than the active one; it is ignored.
    std::function<void(ConfigVersion)> on_lower_version;
  };

  /// @param protocol decodes the parts. Must outlive this object.
  ActiveConfig(const ConfigProtocol& protocol, Events events) : protocol_(protocol), events_(std::move(events)) {}

  /// Handles a part that was listed, changed or removed.
  void onPartChanged(const MetadataObject& part, bool deleted);
  /// Call once all parts have been listed.
  void onListComplete();
  /// Handles the complete configuration that is active in another process. Adopts it if this process has none, or if
  /// operators assign the versions and this one is higher: this process may have read only a restored backup of the
  /// store.
  void onPeerConfig(const std::vector<ObjectCopy>& parts);

  /// @return the active configuration; null if there is none.
  const std::shared_ptr<const RouteTable>& routes() const { return routes_; }
  /// @return the version of the active configuration if operators assign the versions; 0 if versions are not comparable
  ///   or no configuration is active.
  ConfigVersion comparableVersion() const;
  /// @return the revisions of the parts that were decoded last.
  const std::map<std::string, StoreRevision>& revisions() const { return decoded_revisions_; }
  /// @return the parts of the active configuration, for other processes.
  std::vector<ObjectCopy> copies() const;

 private:
  /// Decodes the parts and adopts the result if it is valid.
  void decodeParts();
  void adopt(RouterConfig config, const ObjectsByName& parts);

  const ConfigProtocol& protocol_;
  Events events_;
  /// The latest known state of the parts in the store.
  ObjectsByName parts_;
  /// All parts have been listed at least once.
  bool listed_ = false;
  /// Revisions of the parts that were decoded last.
  std::map<std::string, StoreRevision> decoded_revisions_;
  std::shared_ptr<const RouteTable> routes_;
  ObjectsByName active_parts_;
};

}  // namespace shedlever
