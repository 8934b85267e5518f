#include "source/router/node_records.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "source/core/json_fields.h"
#include "source/core/settings/endpoint_text.h"

namespace shedlever {

using nlohmann::json;

namespace {

/// Backoff after failed writes. The maximum lets a new server be known within 2 s after the store is regained.
constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(400);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(1600);

}  // namespace

std::string nodeRecordName(const NodeName& node) { return "node-" + node.value; }

std::string encodeNodeRecord(const NodeRecord& record) {
  json document = {{"node", record.node.value},       {"incarnation", record.incarnation.value},
                   {"peer", toString(record.peer)},   {"zone", record.zone.value},
                   {"service", record.service.value}, {"slots", record.slots}};
  if (!record.instance.empty()) {
    document["instance"] = record.instance.value;
  }
  if (record.draining) {
    document["draining"] = true;
  }
  if (record.wire_version != 0) {
    document["wire"] = record.wire_version;
  }
  if (record.holds_quotas) {
    document["quotas"] = true;
  }
  for (const InstanceId& instance : record.leaving_instances) {
    document["leaving"].push_back(instance.value);
  }
  for (const QuarantinedRequest& entry : record.quarantined) {
    document["quarantined"].push_back({entry.request.high, entry.request.low, entry.until_s});
  }
  // The names come from settings and heartbeats, which may hold other bytes.
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

namespace {

/// Records with more slots are rejected as invalid.
constexpr std::uint64_t kMaxSlots = 1'000'000;

/// @return the quarantined requests; none if a row is malformed.
std::optional<std::vector<QuarantinedRequest>> quarantinedIn(const json& document) {
  constexpr std::size_t kRowSize = 3;
  std::vector<QuarantinedRequest> rows;
  const json empty = json::array();
  const auto found = document.find("quarantined");
  for (const json& row : found == document.end() ? empty : *found) {
    const auto is_number = [](const json& field) { return field.is_number_unsigned(); };
    if (!row.is_array() || row.size() != kRowSize || !std::all_of(row.begin(), row.end(), is_number)) {
      return std::nullopt;
    }
    rows.push_back({{row[0].get<std::uint64_t>(), row[1].get<std::uint64_t>()}, row[2].get<std::uint64_t>()});
  }
  return rows;
}

/// @return the instances that have given notice; none if an entry is malformed.
std::optional<std::vector<InstanceId>> leavingInstancesIn(const json& document) {
  std::vector<InstanceId> instances;
  const auto found = document.find("leaving");
  if (found == document.end()) {
    return instances;
  }
  const auto is_name = [](const json& entry) {
    return entry.is_string() && !entry.get_ref<const std::string&>().empty();
  };
  if (!found->is_array() || !std::all_of(found->begin(), found->end(), is_name)) {
    return std::nullopt;
  }
  for (const json& entry : *found) {
    instances.emplace_back(entry.get<std::string>());
  }
  return instances;
}

}  // namespace

std::optional<NodeRecord> decodeNodeRecord(const std::string& text) {
  const auto document = parseObject(text);
  if (!document) {
    return std::nullopt;
  }
  const auto node = stringField(*document, "node");
  const auto incarnation = numberField(*document, "incarnation");
  const auto peer_text = stringField(*document, "peer");
  const auto peer = peer_text ? parseEndpoint(*peer_text) : std::nullopt;
  const auto zone = stringField(*document, "zone");
  const auto service = stringField(*document, "service");
  const auto slots = numberField(*document, "slots");
  const auto quarantined = quarantinedIn(*document);
  const auto leaving_instances = leavingInstancesIn(*document);
  if (!node || !incarnation || !peer || peer->port == 0 || !zone || !service || !slots || *slots > kMaxSlots ||
      !quarantined || !leaving_instances) {
    return std::nullopt;
  }
  NodeRecord record;
  record.node = NodeName(*node);
  record.incarnation.value = *incarnation;
  record.peer = *peer;
  record.zone = ZoneName(*zone);
  record.service = ServiceName(*service);
  record.slots = static_cast<std::uint32_t>(*slots);
  record.instance = InstanceId(stringField(*document, "instance").value_or(""));
  record.draining = boolField(*document, "draining").value_or(false);
  record.leaving_instances = *leaving_instances;
  record.quarantined = *quarantined;
  record.holds_quotas = boolField(*document, "quotas").value_or(false);
  constexpr std::uint64_t kMaxWireVersion = std::numeric_limits<WireVersion>::max();
  record.wire_version = static_cast<WireVersion>(std::min(numberField(*document, "wire").value_or(0), kMaxWireVersion));
  return record;
}

NodeRecordPublisher::NodeRecordPublisher(EventLoop& loop, MetadataStore& store, EventLog& log, Events events)
    : loop_(loop), store_(store), log_(log), events_(std::move(events)), backoff_(kInitialRetryDelay, kMaxRetryDelay) {}

void NodeRecordPublisher::publish(const NodeRecord& record) {
  desired_ = record;
  write();
}

void NodeRecordPublisher::onStoreRestored(const NodeRecord* stored) {
  record_exists_ = stored != nullptr;
  if (in_flight_ || !written_ || (stored != nullptr && *stored == *written_)) {
    return;
  }
  written_.reset();
  write();
}

void NodeRecordPublisher::write() {
  if (in_flight_ || !desired_ || desired_ == written_) {
    return;
  }
  in_flight_ = true;
  in_flight_record_ = *desired_;
  const MetadataObject object{nodeRecordName(desired_->node), 0, encodeNodeRecord(*desired_)};
  const auto done = [this, alive = alive_](const StoreAnswer& answer) {
    if (*alive) {
      onAnswer(answer);
    }
  };
  if (record_exists_) {
    store_.replace(kNodeKind, object, done);
  } else {
    store_.create(kNodeKind, object, done);
  }
}

void NodeRecordPublisher::onPreviousRecord(const std::optional<NodeRecord>& previous) {
  if (!previous) {
    log_.write("membership", "previous-record-unreadable", {});
  } else if (previous->incarnation == in_flight_record_.incarnation) {
    // An earlier try to create the record was carried out, though its response was lost.
    events_.on_no_previous_record();
    return;
  } else {
    log_.write("membership", "previous-record",
               {{"incarnation", std::to_string(previous->incarnation.value)},
                {"instance", previous->instance.empty() ? "-" : previous->instance.value},
                {"draining", previous->draining ? "1" : "0"},
                {"leaving", std::to_string(previous->leaving_instances.size())}});
  }
  events_.on_previous_record(previous);
}

void NodeRecordPublisher::onAnswer(const StoreAnswer& answer) {
  in_flight_ = false;
  switch (answer.status) {
    case StoreStatus::Done:
      backoff_.onSuccess();
      if (!std::exchange(record_exists_, true)) {
        events_.on_no_previous_record();
      }
      written_ = in_flight_record_;
      log_.write("membership", "record-written",
                 {{"instance", in_flight_record_.instance.value},
                  {"draining", in_flight_record_.draining ? "1" : "0"},
                  {"revision", toString(answer.object.revision)}});
      events_.on_written();
      write();
      return;
    case StoreStatus::Conflict:
      record_exists_ = true;
      onPreviousRecord(decodeNodeRecord(answer.object.value));
      write();
      return;
    case StoreStatus::Absent:
      record_exists_ = false;
      write();
      return;
    case StoreStatus::Refused:
    case StoreStatus::Unknown:
      loop_.runAfter(backoff_.onFailure(), [this, alive = alive_] {
        if (*alive) {
          write();
        }
      });
      return;
  }
}

}  // namespace shedlever
