#pragma once

/// @file
/// Finds the route of a request by host and longest matching path prefix.

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "shedlever/router_config.h"
#include "source/core/router/routes/tenant_keys.h"

namespace shedlever {

/// One version of the configuration, indexed for lookups. Immutable: each version has its own table.
class RouteTable {
 public:
  explicit RouteTable(RouterConfig config);

  /// @param host as the client sent it; the port and the case of letters are ignored.
  /// @param target path with or without a query.
  /// @return the route, or null if there is none. Valid for the lifetime of the table.
  const Route* find(std::string_view host, std::string_view target) const;

  /// @return the service, or null if it is unknown.
  const RoutedService* service(const ServiceName& name) const;

  /// @return the API keys of the tenants; null if requests need none.
  const TenantKeys* tenantKeys() const { return tenant_keys_ ? &*tenant_keys_ : nullptr; }

  const RouterConfig& config() const { return config_; }
  ConfigVersion version() const { return config_.version; }

 private:
  /// Routes of one host by their prefix.
  using PrefixMap = std::unordered_map<std::string, const Route*>;

  RouterConfig config_;
  std::unordered_map<std::string, PrefixMap> hosts_;
  std::optional<TenantKeys> tenant_keys_;
};

}  // namespace shedlever
