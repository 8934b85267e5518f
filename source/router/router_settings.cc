#include "source/router/router_settings.h"

#include <algorithm>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>

#include "source/core/router/duration_format.h"
#include "source/core/router/ownership/ownership_fields.h"
#include "source/core/settings/endpoint_text.h"
#include "source/net/text_file.h"

namespace shedlever {

using nlohmann::json;

namespace {

/// Used fraction of the configured retry budget; the margin covers differences between the clocks and counters of this
/// process and of whoever enforces the budget.
constexpr double kRetryRatioShare = 0.5;
constexpr double kRetrySlackShare = 0.6;

/// One section of the settings; adds a finding for each invalid field.
class Section {
 public:
  Section(const json& document, const char* name, Findings& findings) : name_(name), findings_(findings) {
    const auto found = document.find(name);
    if (found != document.end() && found->is_object()) {
      object_ = &*found;
    }
  }

  /// Reads a field that must be one of `words`. An absent field leaves the value unchanged.
  template <class Value>
  void read(const char* field, Value& value, const std::map<std::string, Value>& words) const {
    const json* given = find(field);
    if (given == nullptr) {
      return;
    }
    const auto word = given->is_string() ? words.find(given->get<std::string>()) : words.end();
    if (word == words.end()) {
      std::string message = "must be one of";
      for (const auto& [name, unused] : words) {
        message += " " + name;
      }
      addFinding(field, message);
      return;
    }
    value = word->second;
  }

  bool has(const char* field) const { return find(field) != nullptr; }

  /// @return the text; empty, with a finding, if the field is missing or invalid.
  std::string text(const char* field) const {
    const json* value = find(field);
    if (value == nullptr || !value->is_string() || value->get<std::string>().empty()) {
      addFinding(field, "must be a non-empty string");
      return {};
    }
    return value->get<std::string>();
  }

  /// @return the endpoint; empty, with a finding, if the field is missing or invalid.
  Endpoint endpoint(const char* field) const {
    const std::string value = text(field);
    const auto parsed = value.empty() ? std::nullopt : parseEndpoint(value);
    if (!parsed && !value.empty()) {
      addFinding(field, "must be an address with a port");
    }
    return parsed.value_or(Endpoint{});
  }

  /// Reads a duration. An absent field leaves the value unchanged.
  void read(const char* field, Duration& value) const {
    const json* given = find(field);
    if (given == nullptr) {
      return;
    }
    const auto parsed = given->is_string() ? parseDuration(given->get<std::string>()) : std::nullopt;
    if (!parsed) {
      addFinding(field, "must be a duration such as 1500ms or 2.5s");
      return;
    }
    value = *parsed;
  }

  /// Reads a number from `min` to `max`. An absent field leaves the value unchanged.
  void read(const char* field, double& value, double min, double max) const {
    const json* given = find(field);
    if (given == nullptr) {
      return;
    }
    if (!given->is_number() || given->get<double>() < min || given->get<double>() > max) {
      std::ostringstream message;
      message << "must be a number from " << min << " to " << max;
      addFinding(field, message.str());
      return;
    }
    value = given->get<double>();
  }

 private:
  const json* find(const char* field) const {
    if (object_ == nullptr) {
      return nullptr;
    }
    const auto found = object_->find(field);
    return found == object_->end() || found->is_null() ? nullptr : &*found;
  }

  void addFinding(const char* field, const std::string& message) const {
    findings_.add(std::string(name_) + "/" + field, message);
  }

  const char* name_;
  Findings& findings_;
  const json* object_ = nullptr;
};

void readInterface(const json& document, RouterSettings& settings, Findings& findings) {
  const auto found = document.find("interface");
  if (found == document.end() || *found == "shedlever") {
    settings.interface_kind = InterfaceKind::Shedlever;
  } else if (*found == "platform") {
    settings.interface_kind = InterfaceKind::Platform;
  } else {
    findings.add("interface", "must be \"shedlever\" or \"platform\"");
  }
}

void readNodeAndEndpoints(const json& document, RouterSettings& settings, Findings& findings) {
  const Section node(document, "node", findings);
  settings.node = NodeName(node.text("name"));
  settings.zone = ZoneName(node.text("zone"));
  settings.service = ServiceName(node.text("service"));
  const Section listen(document, "listen", findings);
  settings.clients_listen = listen.endpoint("clients");
  settings.peers_listen = listen.endpoint("peers");
  settings.peers_advertised =
      listen.has("peers_reached_at") ? listen.endpoint("peers_reached_at") : settings.peers_listen;
  settings.readiness_listen = listen.endpoint("readiness");
  settings.reports_listen = listen.endpoint("reports");
  const Section connect(document, "connect", findings);
  settings.server = connect.endpoint("server");
  settings.store = connect.endpoint("store");
}

void readLimits(const json& document, RouterSettings& settings, Findings& findings) {
  constexpr double kMaxRetrySlack = 1e9;
  double ratio = settings.retry.ratio / kRetryRatioShare;
  double slack = settings.retry.slack / kRetrySlackShare;
  const Section retry(document, "retry", findings);
  retry.read("ratio", ratio, 0.0, 1.0);
  retry.read("slack", slack, 0.0, kMaxRetrySlack);
  settings.retry = {ratio * kRetryRatioShare, slack * kRetrySlackShare};
  const Section stop(document, "stop", findings);
  stop.read("grace", settings.stop.grace);
  stop.read("clients_leave", settings.stop.clients_leave);
  stop.read("drain", settings.stop.drain);
  constexpr double kMaxLinkMbps = 1e6;
  constexpr double kBytesPerMegabit = 1e6 / 8;
  double link_mbps = settings.link.bytes_per_second / kBytesPerMegabit;
  const Section link(document, "link", findings);
  link.read("mbps", link_mbps, 0.0, kMaxLinkMbps);
  link.read("used_share", settings.link.used_fraction, 0.1, 1.0);
  settings.link.bytes_per_second = link_mbps * kBytesPerMegabit;
  constexpr double kMaxMemoryMegabytes = 1e9;
  constexpr double kBytesPerMegabyte = 1U << 20U;
  double memory_mb = static_cast<double>(settings.machine_memory_bytes) / kBytesPerMegabyte;
  const Section machine(document, "machine", findings);
  machine.read("memory_mb", memory_mb, 0.0, kMaxMemoryMegabytes);
  settings.machine_memory_bytes = static_cast<std::size_t>(memory_mb * kBytesPerMegabyte);
  const Section queue(document, "queue", findings);
  queue.read("least_wait_limit", settings.queue.min_wait_limit);
  queue.read("slot_share", settings.queue.slot_share, 0.1, 1.0);
}

void readQuarantine(const json& document, RouterSettings& settings, Findings& findings) {
  constexpr Duration kMaxQuarantineTime = std::chrono::hours(24);
  constexpr double kMaxCrashThreshold = 100;
  const Section section(document, "quarantine", findings);
  double ends = settings.quarantine.crash_threshold;
  section.read("ends", ends, 2.0, kMaxCrashThreshold);
  settings.quarantine.crash_threshold = static_cast<std::uint32_t>(ends);
  section.read("time", settings.quarantine.duration);
  if (settings.quarantine.duration <= Duration::zero() || settings.quarantine.duration > kMaxQuarantineTime) {
    findings.add("quarantine/time", "must be more than 0s and at most 86400s");
  }
}

void readEvacuation(const json& document, RouterSettings& settings, Findings& findings) {
  /// Lower limits could not be met: all nodes know an evacuation after 2.5 s, and moving keys takes about 1 s.
  constexpr Duration kMinEvacuationTime = std::chrono::seconds(4);
  const Section section(document, "evacuation", findings);
  section.read("within", settings.evacuation.time_limit);
  if (settings.evacuation.enabled() && settings.evacuation.time_limit < kMinEvacuationTime) {
    findings.add("evacuation/within", "must be at least 4s");
  }
}

void readConfigTimeLimit(const json& document, RouterSettings& settings, Findings& findings) {
  /// A process that has regained the store needs up to two seconds to read what it has missed.
  constexpr Duration kMinTimeLimit = std::chrono::seconds(2);
  const Section section(document, "config", findings);
  section.read("within", settings.config_time_limit);
  if (settings.config_time_limit < kMinTimeLimit) {
    findings.add("config/within", "must be at least 2s");
  }
}

/// Upper limit for the number of servers from which a service is planned as a whole.
constexpr double kMaxServicePlanFrom = 1'000'000;

void readOwnership(const json& document, RouterSettings& settings, Findings& findings) {
  const Section section(document, "ownership", findings);
  OwnershipConfig& config = settings.ownership;
  for (const OwnershipDurationField& field : ownershipDurationFields()) {
    section.read(field.name.data(), config.*field.member);
  }
  for (const OwnershipShareField& field : ownershipShareFields()) {
    section.read(field.name.data(), config.*field.member, 0.0, 1.0);
  }
  double service_plan_from = static_cast<double>(config.service_plan_from);
  section.read("service_plan_from", service_plan_from, 0, kMaxServicePlanFrom);
  config.service_plan_from = static_cast<std::size_t>(service_plan_from);
  constexpr double kMaxOwners = 100'000;
  double shared_writes_from = config.shared_writes_from;
  section.read("shared_writes_from", shared_writes_from, 0, kMaxOwners);
  config.shared_writes_from = static_cast<std::uint32_t>(shared_writes_from);
  Duration longest_grant = config.heartbeat_hold;
  section.read("longest_grant", longest_grant);
  config.grant_hold = std::min(config.grant_hold, longest_grant);
  config.heartbeat_hold = std::min(config.heartbeat_hold, longest_grant);
  if (config.lease_renewal * 2 > config.lease) {
    findings.add("ownership/lease_renewal", "must be at most half of ownership/lease");
  }
  section.read("grants", config.grant_delivery,
               {{"request", GrantDelivery::Request}, {"heartbeat", GrantDelivery::Heartbeat}});
  const Section choice(document, "choice", findings);
  constexpr double kMaxCost = 100.0;
  choice.read("cross_zone_cost", settings.choice.cross_zone_cost, 0.0, kMaxCost);
  choice.read("cross_zone_download_cost", settings.choice.cross_zone_download_cost, 0.0, kMaxCost);
  choice.read("busy_occupancy", settings.choice.busy_occupancy, 0.0, 0.99);
  choice.read("failing_cost", settings.choice.failing_cost, 0.0, kMaxCost);
  choice.read("exploration", settings.choice.exploration, 0.0, 1.0);
}

}  // namespace

std::size_t RouterSettings::bodyMemoryBytes() const {
  if (machine_memory_bytes == 0) {
    return std::numeric_limits<std::size_t>::max();
  }
  /// What the process takes without any body.
  constexpr std::size_t kOtherBytes = 32U << 20U;
  /// The rest of the memory is for buffers of connections, copies that exist for a moment, and what malloc keeps.
  constexpr std::size_t kShareDivisor = 4;
  const std::size_t available = machine_memory_bytes - std::min(machine_memory_bytes, kOtherBytes);
  return available - available / kShareDivisor;
}

leaf::result<RouterSettings> parseRouterSettings(const std::string& text) {
  Findings findings;
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) {
    findings.add("settings", "must be a JSON object");
    return leaf::new_error(std::move(findings));
  }
  RouterSettings settings;
  readInterface(document, settings, findings);
  readNodeAndEndpoints(document, settings, findings);
  readLimits(document, settings, findings);
  readOwnership(document, settings, findings);
  readQuarantine(document, settings, findings);
  readEvacuation(document, settings, findings);
  readConfigTimeLimit(document, settings, findings);
  if (!findings.empty()) {
    return leaf::new_error(std::move(findings));
  }
  return settings;
}

leaf::result<RouterSettings> readRouterSettings(const std::string& path) {
  BOOST_LEAF_AUTO(text, readTextFile(path));
  return parseRouterSettings(text);
}

}  // namespace shedlever
