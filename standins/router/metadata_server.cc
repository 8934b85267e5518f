#include "standins/router/metadata_server.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace shedlever::standins {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr const char* kObjects = "/objects/";
constexpr const char* kEpochHeader = "Store-Era";

std::uint64_t numberParameter(const std::map<std::string, std::string>& query, const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

StoreMode parseMode(const std::string& mode) {
  if (mode == "silent") {
    return StoreMode::Unresponsive;
  }
  if (mode == "busy") {
    return StoreMode::Unavailable;
  }
  return mode == "reset" ? StoreMode::Reset : StoreMode::Up;
}

}  // namespace

leaf::result<std::unique_ptr<MetadataServer>> MetadataServer::listen(EventLoop& loop, const Endpoint& endpoint,
                                                                     std::uint64_t seed) {
  std::unique_ptr<MetadataServer> server(new MetadataServer(loop, seed));
  const auto handler = [raw = server.get()](const StandinRequest& request, const StandinResponder& responder) {
    raw->handle(request, responder);
  };
  BOOST_LEAF_AUTO(http, StandinHttpServer::listen(loop, endpoint, 0, handler));
  server->http_ = std::move(http);
  return server;
}

bool MetadataServer::happens(double probability) {
  return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

void MetadataServer::setFaults(const std::string& body) {
  const json document = json::parse(body, nullptr, false);
  if (document.value("compact", false)) {
    compactHistory();
    return;
  }
  if (document.value("keep_copy", false)) {
    backup_ = {revision_, kinds_, events_};
    return;
  }
  if (document.value("restore_copy", false)) {
    restoreBackup();
    return;
  }
  faults_.mode = parseMode(document.value("mode", "up"));
  faults_.delay = std::chrono::milliseconds(document.value("delay_ms", 0));
  faults_.lost = document.value("lost", 0.0);
  faults_.late = document.value("late", 0.0);
}

void MetadataServer::disconnectWatches() {
  for (PendingWatch& watch : pending_watches_) {
    watch.responder.drop();
  }
  pending_watches_.clear();
}

void MetadataServer::compactHistory() {
  compacted_revision_ = revision_;
  disconnectWatches();
}

void MetadataServer::restoreBackup() {
  ++epoch_;
  revision_ = backup_.revision;
  kinds_ = backup_.kinds;
  events_ = backup_.events;
  disconnectWatches();
}

void MetadataServer::reply(const StandinResponder& responder, int status, const std::string& body) const {
  StandinResponder answer = responder;
  answer.reply({status, {{"Content-Type", "application/json"}, {kEpochHeader, std::to_string(epoch_)}}, body});
}

void MetadataServer::handle(const StandinRequest& request, const StandinResponder& responder) {
  StandinResponder answer = responder;
  if (request.path == "/faults") {
    setFaults(request.http.body);
    answer.replyJson(kOk, "{}");
    return;
  }
  switch (faults_.mode) {
    case StoreMode::Unresponsive:
      withheld_.push_back(responder);
      return;
    case StoreMode::Unavailable:
      reply(responder, kUnavailable, "{}");
      return;
    case StoreMode::Reset:
      answer.drop();
      return;
    case StoreMode::Up:
      break;
  }
  loop_.runAfter(faults_.delay, [this, request, responder] { handleObjects(request, responder); });
}

void MetadataServer::handleObjects(const StandinRequest& request, const StandinResponder& responder) {
  if (!request.path.starts_with(kObjects)) {
    reply(responder, kNotFound, "{}");
    return;
  }
  const std::string rest = request.path.substr(std::string(kObjects).size());
  const std::size_t slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (request.http.method != "GET") {
    write(request, kind, name, responder);
  } else if (!name.empty()) {
    const auto& objects = kinds_[kind];
    const auto found = objects.find(name);
    reply(responder, found == objects.end() ? kNotFound : kOk,
          found == objects.end() ? "{}" : objectJson(name, found->second));
  } else if (request.query.contains("watch")) {
    watch(request, kind, responder);
  } else {
    list(kind, responder);
  }
}

std::string MetadataServer::objectJson(const std::string& name, const Object& object) const {
  const json metadata = {{"name", name}, {"revision", object.revision}, {"finalizers", json::array()}};
  return json{{"metadata", metadata}, {"spec", json::parse(object.spec)}, {"status", nullptr}}.dump();
}

void MetadataServer::list(const std::string& kind, const StandinResponder& responder) const {
  json items = json::array();
  const auto objects = kinds_.find(kind);
  if (objects != kinds_.end()) {
    for (const auto& [name, object] : objects->second) {
      items.push_back(json::parse(objectJson(name, object)));
    }
  }
  reply(responder, kOk, json{{"items", items}, {"more", false}, {"at", revision_}}.dump());
}

std::string MetadataServer::eventsJson(const std::string& kind, std::uint64_t after) {
  json events = json::array();
  for (const Event& event : events_) {
    if (event.kind == kind && event.revision > after) {
      const Object& object = event.removed ? *event.removed : kinds_.at(kind)[event.name];
      const bool removed = event.removed.has_value();
      events.push_back({{"gone", removed}, {"object", json::parse(objectJson(event.name, object))}});
    }
  }
  return events.empty() ? "" : json{{"events", events}, {"at", revision_}}.dump();
}

void MetadataServer::watch(const StandinRequest& request, const std::string& kind, const StandinResponder& responder) {
  const std::uint64_t after = numberParameter(request.query, "watch");
  if (after < compacted_revision_ || after > revision_) {
    reply(responder, kGone, "{}");
    return;
  }
  const std::string events = eventsJson(kind, after);
  if (!events.empty()) {
    reply(responder, kOk, events);
    return;
  }
  const std::uint64_t id = ++last_watch_id_;
  pending_watches_.push_back({id, kind, after, responder});
  const std::chrono::milliseconds wait(numberParameter(request.query, "waitMs"));
  loop_.runAfter(wait, [this, id] {
    const auto found = std::find_if(pending_watches_.begin(), pending_watches_.end(),
                                    [id](const PendingWatch& pending) { return pending.id == id; });
    if (found == pending_watches_.end()) {
      return;
    }
    const StandinResponder waiting = found->responder;
    pending_watches_.erase(found);
    reply(waiting, kOk, json{{"events", json::array()}, {"at", revision_}}.dump());
  });
}

void MetadataServer::respondToWatches() {
  for (auto watch = pending_watches_.begin(); watch != pending_watches_.end();) {
    const std::string events = eventsJson(watch->kind, watch->after);
    if (events.empty()) {
      ++watch;
      continue;
    }
    reply(watch->responder, kOk, events);
    watch = pending_watches_.erase(watch);
  }
}

std::pair<int, std::string> MetadataServer::remove(const StandinRequest& request, const std::string& kind,
                                                   const std::string& name) {
  auto& objects = kinds_[kind];
  const auto found = objects.find(name);
  if (found == objects.end()) {
    return {kNotFound, "{}"};
  }
  const std::uint64_t expected_revision = numberParameter(request.query, "revision");
  if (expected_revision != 0 && expected_revision != found->second.revision) {
    return {kConflict, objectJson(name, found->second)};
  }
  Object removed = found->second;
  objects.erase(found);
  removed.revision = ++revision_;
  std::erase_if(events_, [&](const Event& event) { return event.kind == kind && event.name == name; });
  events_.push_back({removed.revision, kind, name, removed});
  respondToWatches();
  return {kOk, objectJson(name, removed)};
}

std::pair<int, std::string> MetadataServer::apply(const StandinRequest& request, const std::string& kind,
                                                  const std::string& name) {
  if (request.http.method == "DELETE") {
    return remove(request, kind, name);
  }
  const json document = json::parse(request.http.body, nullptr, false);
  const json metadata = document.value("metadata", json::object());
  const bool creates = request.http.method == "POST";
  const std::string key = creates ? metadata.value("name", "") : name;
  auto& objects = kinds_[kind];
  const auto found = objects.find(key);
  if (creates && found != objects.end()) {
    return {kConflict, objectJson(key, found->second)};
  }
  if (!creates && found == objects.end()) {
    return {kNotFound, "{}"};
  }
  const std::uint64_t expected_revision = metadata.value("revision", std::uint64_t{0});
  if (!creates && expected_revision != 0 && expected_revision != found->second.revision) {
    return {kConflict, objectJson(key, found->second)};
  }
  Object& object = objects[key];
  object.revision = ++revision_;
  object.spec = document.value("spec", json()).dump();
  std::erase_if(events_, [&](const Event& event) { return event.kind == kind && event.name == key; });
  events_.push_back({object.revision, kind, key, std::nullopt});
  respondToWatches();
  return {kOk, objectJson(key, object)};
}

void MetadataServer::write(const StandinRequest& request, const std::string& kind, const std::string& name,
                           const StandinResponder& responder) {
  if (happens(faults_.late)) {
    withheld_.push_back(responder);
    const std::chrono::milliseconds delay(1000 + random_() % 3000);
    loop_.runAfter(delay, [this, request, kind, name] { apply(request, kind, name); });
    return;
  }
  const auto [status, body] = apply(request, kind, name);
  if (happens(faults_.lost)) {
    withheld_.push_back(responder);
    return;
  }
  reply(responder, status, body);
}

}  // namespace shedlever::standins
