#include "source/core/router/routes/active_config.h"

#include <utility>

namespace shedlever {

void ActiveConfig::onPartChanged(const MetadataObject& part, bool deleted) {
  if (!protocol_.isConfigObject(part.name)) {
    return;
  }
  const auto known = parts_.find(part.name);
  if (known != parts_.end() && part.revision <= known->second.revision) {
    if (part.revision < known->second.revision) {
      events_.on_stale_part(part, known->second.revision);
    }
    return;
  }
  if (deleted) {
    parts_.erase(part.name);
  } else {
    parts_[part.name] = part;
  }
  if (listed_) {
    decodeParts();
  }
}

void ActiveConfig::onListComplete() {
  listed_ = true;
  decodeParts();
}

void ActiveConfig::decodeParts() {
  std::map<std::string, StoreRevision> revisions;
  for (const auto& [name, part] : parts_) {
    revisions[name] = part.revision;
  }
  if (revisions.empty() || revisions == decoded_revisions_) {
    return;
  }
  decoded_revisions_ = std::move(revisions);
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(config, protocol_.decode(parts_));
        if (config.version < comparableVersion()) {
          events_.on_lower_version(config.version);
        } else {
          adopt(std::move(config), parts_);
        }
        return {};
      },
      [&](const Findings& findings) { events_.on_invalid(findings); }, [] {});
}

void ActiveConfig::adopt(RouterConfig config, const ObjectsByName& parts) {
  active_parts_ = parts;
  routes_ = std::make_shared<const RouteTable>(std::move(config));
  events_.on_adopted();
  if (!routes_->config().ignored.empty()) {
    events_.on_values_ignored(routes_->config().ignored);
  }
}

void ActiveConfig::onPeerConfig(const std::vector<ObjectCopy>& parts) {
  if (!routes_) {
    for (const ObjectCopy& part : parts) {
      onPartChanged({part.name, part.revision, part.value}, false);
    }
    onListComplete();
    return;
  }
  ObjectsByName peer_parts;
  for (const ObjectCopy& part : parts) {
    peer_parts[part.name] = {part.name, part.revision, part.value};
  }
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(config, protocol_.decode(peer_parts));
        if (protocol_.hasOperatorVersions() && config.version > routes_->version()) {
          adopt(std::move(config), peer_parts);
        }
        return {};
      },
      [&](const Findings& findings) { events_.on_invalid(findings); }, [] {});
}

ConfigVersion ActiveConfig::comparableVersion() const {
  return routes_ && protocol_.hasOperatorVersions() ? routes_->version() : 0;
}

std::vector<ObjectCopy> ActiveConfig::copies() const {
  std::vector<ObjectCopy> copies;
  for (const auto& [name, part] : active_parts_) {
    copies.push_back({part.name, part.revision, part.value});
  }
  return copies;
}

}  // namespace shedlever
