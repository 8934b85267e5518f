#include "source/router/node_records.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "source/core/settings/endpoint_text.h"

namespace shedlever {

using nlohmann::json;

namespace {

/// After a write that failed; doubles with each ...
constexpr Duration kRetryDelay = std::chrono::milliseconds(400);
/// ... up to this: others know of a new server within some 2 s after the path to the store is whole again.
constexpr Duration kMostRetryDelay = std::chrono::milliseconds(1600);

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
  for (const QuarantinedRequest& one : record.quarantined) {
    document["quarantined"].push_back({one.request.high, one.request.low, one.until_s});
  }
  return document.dump();
}

std::optional<NodeRecord> decodeNodeRecord(const std::string& text) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) {
    return std::nullopt;
  }
  try {
    NodeRecord record;
    record.node = NodeName(document.at("node").get<std::string>());
    record.incarnation.value = document.at("incarnation").get<std::uint64_t>();
    const auto peer = parseEndpoint(document.at("peer").get<std::string>());
    if (!peer) {
      return std::nullopt;
    }
    record.peer = *peer;
    record.zone = ZoneName(document.at("zone").get<std::string>());
    record.service = ServiceName(document.at("service").get<std::string>());
    record.slots = document.at("slots").get<std::uint32_t>();
    record.instance = InstanceId(document.value("instance", std::string()));
    record.draining = document.value("draining", false);
    for (const json& row : document.value("quarantined", json::array())) {
      record.quarantined.push_back(
          {{row.at(0).get<std::uint64_t>(), row.at(1).get<std::uint64_t>()}, row.at(2).get<std::uint64_t>()});
    }
    return record;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

RecordPublisher::RecordPublisher(EventLoop& loop, MetadataStore& store, EventLog& log,
                                 std::function<void(const NodeRecord&)> on_earlier)
    : loop_(loop),
      store_(store),
      log_(log),
      on_earlier_(std::move(on_earlier)),
      backoff_(kRetryDelay, kMostRetryDelay) {}

void RecordPublisher::publish(const NodeRecord& record) {
  wanted_ = record;
  write();
}

void RecordPublisher::write() {
  if (in_flight_ || !wanted_ || wanted_ == written_) {
    return;
  }
  in_flight_ = true;
  in_flight_record_ = *wanted_;
  const MetadataObject object{nodeRecordName(wanted_->node), 0, encodeNodeRecord(*wanted_)};
  const auto done = [this, alive = alive_](const StoreAnswer& answer) {
    if (*alive) {
      onAnswer(answer);
    }
  };
  if (exists_) {
    store_.replace(kNodeKind, object, done);
  } else {
    store_.create(kNodeKind, object, done);
  }
}

void RecordPublisher::onAnswer(const StoreAnswer& answer) {
  in_flight_ = false;
  switch (answer.status) {
    case StoreStatus::Done:
      backoff_.onSuccess();
      exists_ = true;
      written_ = in_flight_record_;
      log_.write("membership", "record-written",
                 {{"instance", in_flight_record_.instance.value},
                  {"draining", in_flight_record_.draining ? "1" : "0"},
                  {"revision", std::to_string(answer.object.revision)}});
      write();
      return;
    case StoreStatus::Conflict:
      exists_ = true;
      if (const auto earlier = decodeNodeRecord(answer.object.value)) {
        on_earlier_(*earlier);
      }
      write();
      return;
    case StoreStatus::Absent:
      exists_ = false;
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
