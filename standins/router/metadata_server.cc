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

std::uint64_t numberOr(const std::map<std::string, std::string>& query, const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

StoreMode modeFrom(const std::string& word) {
  if (word == "silent") {
    return StoreMode::Unresponsive;
  }
  if (word == "busy") {
    return StoreMode::Unavailable;
  }
  return word == "reset" ? StoreMode::Reset : StoreMode::Up;
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

bool MetadataServer::happens(double chance) { return std::uniform_real_distribution<>(0, 1)(random_) < chance; }

void MetadataServer::setFaults(const std::string& body) {
  const json document = json::parse(body, nullptr, false);
  if (document.value("compact", false)) {
    compactHistory();
    return;
  }
  if (document.value("keep_copy", false)) {
    copy_ = {revision_, kinds_, events_};
    return;
  }
  if (document.value("restore_copy", false)) {
    restoreCopy();
    return;
  }
  faults_.mode = modeFrom(document.value("mode", "up"));
  faults_.delay = std::chrono::milliseconds(document.value("delay_ms", 0));
  faults_.lost = document.value("lost", 0.0);
  faults_.late = document.value("late", 0.0);
}

void MetadataServer::dropWatches() {
  for (PendingWatch& waiter : waiters_) {
    waiter.responder.drop();
  }
  waiters_.clear();
}

void MetadataServer::compactHistory() {
  forgotten_ = revision_;
  dropWatches();
}

void MetadataServer::restoreCopy() {
  ++epoch_;
  revision_ = copy_.revision;
  kinds_ = copy_.kinds;
  events_ = copy_.events;
  dropWatches();
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
          found == objects.end() ? "{}" : objectText(name, found->second));
  } else if (request.query.contains("watch")) {
    watch(request, kind, responder);
  } else {
    list(kind, responder);
  }
}

std::string MetadataServer::objectText(const std::string& name, const Object& object) const {
  const json metadata = {{"name", name}, {"revision", object.revision}, {"finalizers", json::array()}};
  return json{{"metadata", metadata}, {"spec", json::parse(object.spec)}, {"status", nullptr}}.dump();
}

void MetadataServer::list(const std::string& kind, const StandinResponder& responder) const {
  json items = json::array();
  const auto objects = kinds_.find(kind);
  if (objects != kinds_.end()) {
    for (const auto& [name, object] : objects->second) {
      items.push_back(json::parse(objectText(name, object)));
    }
  }
  reply(responder, kOk, json{{"items", items}, {"more", false}, {"at", revision_}}.dump());
}

std::string MetadataServer::eventsText(const std::string& kind, std::uint64_t after) {
  json events = json::array();
  for (const Event& event : events_) {
    if (event.kind == kind && event.revision > after) {
      const Object& object = event.removed ? *event.removed : kinds_.at(kind)[event.name];
      const bool gone = event.removed.has_value();
      events.push_back({{"gone", gone}, {"object", json::parse(objectText(event.name, object))}});
    }
  }
  return events.empty() ? "" : json{{"events", events}, {"at", revision_}}.dump();
}

void MetadataServer::watch(const StandinRequest& request, const std::string& kind, const StandinResponder& responder) {
  const std::uint64_t after = numberOr(request.query, "watch");
  if (after < forgotten_ || after > revision_) {
    reply(responder, kGone, "{}");
    return;
  }
  const std::string events = eventsText(kind, after);
  if (!events.empty()) {
    reply(responder, kOk, events);
    return;
  }
  const std::uint64_t number = ++last_waiter_;
  waiters_.push_back({number, kind, after, responder});
  const std::chrono::milliseconds wait(numberOr(request.query, "waitMs"));
  loop_.runAfter(wait, [this, number] {
    const auto still = std::find_if(waiters_.begin(), waiters_.end(),
                                    [number](const PendingWatch& waiter) { return waiter.number == number; });
    if (still == waiters_.end()) {
      return;
    }
    const StandinResponder empty = still->responder;
    waiters_.erase(still);
    reply(empty, kOk, json{{"events", json::array()}, {"at", revision_}}.dump());
  });
}

void MetadataServer::answerWatches() {
  for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
    const std::string events = eventsText(waiter->kind, waiter->after);
    if (events.empty()) {
      ++waiter;
      continue;
    }
    reply(waiter->responder, kOk, events);
    waiter = waiters_.erase(waiter);
  }
}

std::pair<int, std::string> MetadataServer::remove(const StandinRequest& request, const std::string& kind,
                                                   const std::string& name) {
  auto& objects = kinds_[kind];
  const auto found = objects.find(name);
  if (found == objects.end()) {
    return {kNotFound, "{}"};
  }
  const std::uint64_t wanted = numberOr(request.query, "revision");
  if (wanted != 0 && wanted != found->second.revision) {
    return {kConflict, objectText(name, found->second)};
  }
  Object removed = found->second;
  objects.erase(found);
  removed.revision = ++revision_;
  std::erase_if(events_, [&](const Event& event) { return event.kind == kind && event.name == name; });
  events_.push_back({removed.revision, kind, name, removed});
  answerWatches();
  return {kOk, objectText(name, removed)};
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
    return {kConflict, objectText(key, found->second)};
  }
  if (!creates && found == objects.end()) {
    return {kNotFound, "{}"};
  }
  const std::uint64_t wanted = metadata.value("revision", std::uint64_t{0});
  if (!creates && wanted != 0 && wanted != found->second.revision) {
    return {kConflict, objectText(key, found->second)};
  }
  Object& object = objects[key];
  object.revision = ++revision_;
  object.spec = document.value("spec", json()).dump();
  std::erase_if(events_, [&](const Event& event) { return event.kind == kind && event.name == key; });
  events_.push_back({object.revision, kind, key, std::nullopt});
  answerWatches();
  return {kOk, objectText(key, object)};
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
