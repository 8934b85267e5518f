#include "store_standin.h"

#include <cstdlib>

namespace review {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
const std::string kObjects = "/objects/";

/// @return the value of a parameter of the query; empty if it is not there.
std::string parameter(const std::string& query, const std::string& name) {
  const std::size_t at = ("&" + query).find("&" + name + "=");
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t begin = at + name.size() + 1;
  return query.substr(begin, query.find('&', begin) - begin);
}

}  // namespace

StoreStandin::StoreStandin(int port)
    : server_(std::make_unique<HttpStandin>(port, [this](const HttpMessage& request) { return handle(request); })) {}

StoreStandin::~StoreStandin() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  server_.reset();
}

void StoreStandin::writeConfig(const json& spec) {
  const std::lock_guard<std::mutex> lock(mutex_);
  put("config", "main", spec);
}

json StoreStandin::describe(const std::string& name, const Object& object) {
  const json metadata = {
      {"name", name}, {"revision", object.revision}, {"made", 1}, {"finalizers", json::array()}, {"deleting", false}};
  return {{"metadata", metadata}, {"spec", object.spec}, {"status", nullptr}};
}

StoreStandin::Answer StoreStandin::put(const std::string& kind, const std::string& name, const json& spec) {
  Object& object = kinds_[kind][name];
  // A PUT that changes nothing raises no revision and no event (NEWS.md).
  if (object.revision == 0 || object.spec != spec) {
    object.revision = ++revision_;
    object.spec = spec;
    events_.push_back({object.revision, kind, name, describe(name, object)});
    changed_.notify_all();
  }
  return {kOk, describe(name, object)};
}

StoreStandin::Answer StoreStandin::apply(const std::string& method, const std::string& kind, const std::string& name,
                                         const json& document) {
  const json metadata = document.value("metadata", json::object());
  const std::string key = method == "POST" ? metadata.value("name", "") : name;
  const auto found = kinds_[kind].find(key);
  const bool exists = found != kinds_[kind].end();
  if (method == "POST") {
    return exists ? Answer{kConflict, describe(key, found->second)} : put(kind, key, document.value("spec", json()));
  }
  if (!exists || method != "PUT") {
    return {kNotFound, json::object()};
  }
  const std::uint64_t expected = metadata.value("revision", std::uint64_t{0});
  if (expected != 0 && expected != found->second.revision) {
    return {kConflict, describe(key, found->second)};
  }
  return put(kind, key, document.value("spec", json()));
}

StoreStandin::Answer StoreStandin::list(const std::string& kind) {
  json items = json::array();
  for (const auto& [name, object] : kinds_[kind]) {
    items.push_back(describe(name, object));
  }
  return {kOk, {{"items", items}, {"more", false}, {"at", revision_}}};
}

json StoreStandin::eventsAfter(const std::string& kind, std::uint64_t after) const {
  json events = json::array();
  for (const Event& event : events_) {
    if (event.kind == kind && event.revision > after) {
      events.push_back({{"gone", false}, {"object", event.object}});
    }
  }
  return events;
}

StoreStandin::Answer StoreStandin::watch(const std::string& kind, std::uint64_t after, Milliseconds wait) {
  std::unique_lock<std::mutex> lock(mutex_);
  json events;
  changed_.wait_for(lock, wait, [&] {
    events = eventsAfter(kind, after);
    return stopping_ || !events.empty();
  });
  return {kOk, {{"events", events}, {"at", revision_}}};
}

std::optional<std::string> StoreStandin::handle(const HttpMessage& request) {
  const Headers headers = {{"content-type", "application/json"}};
  const std::string target = request.secondWord();
  const std::string path = target.substr(0, target.find('?'));
  const std::string query = path.size() == target.size() ? "" : target.substr(path.size() + 1);
  if (path.rfind(kObjects, 0) != 0) {
    return formatResponse(kNotFound, headers, "{}");
  }
  const std::string rest = path.substr(kObjects.size());
  const std::string kind = rest.substr(0, rest.find('/'));
  const std::string name = kind.size() == rest.size() ? "" : rest.substr(kind.size() + 1);
  const auto format = [&headers](const Answer& answer) {
    return formatResponse(answer.status, headers, answer.body.dump());
  };
  const std::string watch_from = parameter(query, "watch");
  if (request.firstWord() == "GET" && !watch_from.empty()) {
    const Milliseconds wait(std::atoi(parameter(query, "waitMs").c_str()));
    return format(watch(kind, std::strtoull(watch_from.c_str(), nullptr, 10), wait));
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  if (request.firstWord() == "GET") {
    const auto found = kinds_[kind].find(name);
    const bool known = found != kinds_[kind].end();
    return format(name.empty() ? list(kind)
                               : Answer{known ? kOk : kNotFound, known ? describe(name, found->second) : json()});
  }
  return format(apply(request.firstWord(), kind, name, json::parse(request.body, nullptr, false)));
}

}  // namespace review
