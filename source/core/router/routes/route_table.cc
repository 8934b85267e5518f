#include "source/core/router/routes/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace shedlever {

namespace {

std::string lowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
  return lower;
}

}  // namespace

RouteTable::RouteTable(RouterConfig config) : config_(std::move(config)) {
  for (const Route& route : config_.routes) {
    hosts_[lowerCase(route.host)].emplace(route.path_prefix, &route);
  }
  if (config_.tenants) {
    tenant_keys_.emplace(*config_.tenants);
  }
}

const Route* RouteTable::find(std::string_view host, std::string_view target) const {
  auto found = hosts_.find(lowerCase(host.substr(0, host.find(':'))));
  if (found == hosts_.end()) {
    found = hosts_.find("");
  }
  if (found == hosts_.end()) {
    return nullptr;
  }
  std::string prefix(target.substr(0, target.find('?')));
  // Configured prefixes end with a slash, so only the parts up to each slash can match. The longest is tried first.
  for (std::size_t slash = prefix.rfind('/'); slash != std::string::npos; slash = prefix.rfind('/')) {
    prefix.resize(slash + 1);
    const auto route = found->second.find(prefix);
    if (route != found->second.end()) {
      return route->second;
    }
    prefix.resize(slash);
  }
  return nullptr;
}

const RoutedService* RouteTable::service(const ServiceName& name) const {
  const auto found = config_.services.find(name);
  return found == config_.services.end() ? nullptr : &found->second;
}

}  // namespace shedlever
