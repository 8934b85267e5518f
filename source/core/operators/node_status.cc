#include "source/core/operators/node_status.h"

#include <nlohmann/json.hpp>

namespace shedlever {

using nlohmann::ordered_json;

namespace {

ordered_json encodeRange(const OwnedRange& range) {
  return {{"first", range.keys.first},
          {"last", range.keys.last},
          {"owner", range.owner.value},
          {"token", range.token},
          {"releasing", range.releasing}};
}

OwnedRange decodeRange(const ordered_json& document) {
  OwnedRange range;
  range.keys = {document.at("first").get<Key>(), document.at("last").get<Key>()};
  range.owner = InstanceId(document.at("owner").get<std::string>());
  range.token = document.at("token").get<FenceToken>();
  range.releasing = document.at("releasing").get<bool>();
  return range;
}

ordered_json encodeQuarantine(const QuarantineStatus& quarantine) {
  ordered_json crashed = ordered_json::array();
  for (const InstanceId& instance : quarantine.crashed_instances) {
    crashed.push_back(instance.value);
  }
  const auto remaining_ms = std::chrono::floor<std::chrono::milliseconds>(quarantine.remaining).count();
  return {{"fingerprint", quarantine.fingerprint}, {"left_ms", remaining_ms}, {"ends", std::move(crashed)}};
}

QuarantineStatus decodeQuarantine(const ordered_json& document) {
  QuarantineStatus quarantine;
  quarantine.fingerprint = document.at("fingerprint").get<std::string>();
  quarantine.remaining = std::chrono::milliseconds(document.at("left_ms").get<std::int64_t>());
  for (const ordered_json& instance : document.at("ends")) {
    quarantine.crashed_instances.emplace_back(instance.get<std::string>());
  }
  return quarantine;
}

NodeStatus decode(const ordered_json& document) {
  NodeStatus status;
  status.node.name = NodeName(document.at("node").get<std::string>());
  status.node.incarnation.value = document.at("incarnation").get<std::uint64_t>();
  status.zone = ZoneName(document.at("zone").get<std::string>());
  status.service = ServiceName(document.at("service").get<std::string>());
  status.version = document.at("version").get<std::string>();
  status.ready = document.at("ready").get<bool>();
  status.stopping = document.at("stopping").get<bool>();
  const ordered_json& server = document.at("server");
  status.instance = InstanceId(server.at("instance").get<std::string>());
  status.draining = server.at("draining").get<bool>();
  status.silent = server.at("silent").get<bool>();
  status.load.running = server.at("running").get<std::uint32_t>();
  status.load.queued = server.at("queued").get<std::uint32_t>();
  status.load.slots = server.at("slots").get<std::uint32_t>();
  if (server.contains("limit")) {
    status.named_limit = server.at("limit").get<double>();
  }
  status.in_flight = document.at("in_flight").get<std::uint64_t>();
  status.known_nodes = document.at("nodes").get<std::uint64_t>();
  const ordered_json& config = document.at("config");
  status.config_version = config.at("version").get<ConfigVersion>();
  for (const auto& [name, part] : config.at("parts").items()) {
    status.config_parts[name] = {part.at("era").get<StoreEpoch>(), part.at("count").get<std::uint64_t>()};
  }
  status.store_epoch = document.at("store_era").get<StoreEpoch>();
  status.lease_left = std::chrono::milliseconds(document.at("lease_left_ms").get<std::int64_t>());
  for (const ordered_json& range : document.at("ranges")) {
    status.ranges.push_back(decodeRange(range));
  }
  for (const ordered_json& quarantine : document.at("quarantined")) {
    status.quarantined.push_back(decodeQuarantine(quarantine));
  }
  return status;
}

}  // namespace

std::string encodeNodeStatus(const NodeStatus& status) {
  ordered_json ranges = ordered_json::array();
  for (const OwnedRange& range : status.ranges) {
    ranges.push_back(encodeRange(range));
  }
  ordered_json quarantined = ordered_json::array();
  for (const QuarantineStatus& quarantine : status.quarantined) {
    quarantined.push_back(encodeQuarantine(quarantine));
  }
  ordered_json server = {{"instance", status.instance.value}, {"draining", status.draining},
                         {"silent", status.silent},           {"running", status.load.running},
                         {"queued", status.load.queued},      {"slots", status.load.slots}};
  if (status.named_limit) {
    server["limit"] = *status.named_limit;
  }
  ordered_json parts = ordered_json::object();
  for (const auto& [name, revision] : status.config_parts) {
    parts[name] = {{"era", revision.epoch}, {"count", revision.count}};
  }
  const ordered_json config = {{"version", status.config_version}, {"parts", std::move(parts)}};
  const auto lease_left_ms = std::chrono::floor<std::chrono::milliseconds>(status.lease_left).count();
  return ordered_json{{"node", status.node.name.value},
                      {"incarnation", status.node.incarnation.value},
                      {"zone", status.zone.value},
                      {"service", status.service.value},
                      {"version", status.version},
                      {"ready", status.ready},
                      {"stopping", status.stopping},
                      {"server", server},
                      {"in_flight", status.in_flight},
                      {"nodes", status.known_nodes},
                      {"config", config},
                      {"store_era", status.store_epoch},
                      {"lease_left_ms", lease_left_ms},
                      {"ranges", std::move(ranges)},
                      {"quarantined", std::move(quarantined)}}
      .dump();
}

leaf::result<NodeStatus> decodeNodeStatus(const std::string& text) {
  try {
    return decode(ordered_json::parse(text));
  } catch (const nlohmann::json::exception& error) {
    return leaf::new_error(DecodeError{error.what()});
  }
}

}  // namespace shedlever
