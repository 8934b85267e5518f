#pragma once

/// @file
/// Finds the route of a request by host and longest path prefix.

#include <string>
#include <string_view>
#include <unordered_map>

#include "shedlever/router_config.h"

namespace shedlever {

/// One version of the configuration, laid out for look-ups. Immutable: a new version is a new table.
class RouteTable {
 public:
  explicit RouteTable(RouterConfig config);

  /// @param host as the client sent it; a port and the case don't count.
  /// @param target path with or without a query.
  /// @return the route, or null. Valid as long as the table.
  const Route* find(std::string_view host, std::string_view target) const;

  /// @return the service, or null.
  const RoutedService* service(const ServiceName& name) const;

  const RouterConfig& config() const { return config_; }
  ConfigVersion version() const { return config_.version; }

 private:
  /// Routes of one host by their prefix.
  using PrefixMap = std::unordered_map<std::string, const Route*>;

  RouterConfig config_;
  std::unordered_map<std::string, PrefixMap> hosts_;
};

}  // namespace shedlever
