#include "source/core/settings/settings_routes.h"

#include <algorithm>
#include <memory>

namespace shedlever {

namespace {

Route routeOf(const ServiceSettings& service) {
  Route route;
  route.name = service.name.value;
  route.path_prefix = service.path_prefix;
  route.kind = service.repeatable ? RouteKind::Idempotent : RouteKind::AtMostOnce;
  route.timeout = service.longest_deadline;
  route.target_latency = service.target_latency;
  route.priority = service.priority;
  route.max_attempts = service.retry.attempts;
  route.shares = {{service.name, 1}};
  route.needs_idempotency_key = service.at_most_once;
  return route;
}

RoutedService serviceOf(const ServiceSettings& settings) {
  RoutedService service;
  service.name = settings.name;
  service.health_path = settings.backend.health_path;
  service.divided_by_key = settings.divided_by_key;
  service.settings = std::make_shared<const ServiceSettings>(settings);
  return service;
}

}  // namespace

RouterConfig routerConfigFrom(const DeploymentSettings& settings, ConfigVersion version) {
  RouterConfig config;
  config.version = version;
  config.limits.header_bytes = 0;
  config.limits.body_bytes = 0;
  for (const auto& [name, service] : settings.services) {
    config.routes.push_back(routeOf(service));
    config.services.emplace(name, serviceOf(service));
    // The listener does not know the service yet, so it applies the largest limits; those of the service follow later.
    config.limits.header_bytes = std::max<std::size_t>(config.limits.header_bytes, service.header_limit);
    config.limits.body_bytes = std::max<std::size_t>(config.limits.body_bytes, service.body_limit);
  }
  return config;
}

}  // namespace shedlever
