#include "keyed_server_standin.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace review {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr int kSlots = 18;
constexpr Milliseconds kHeartbeatInterval{1500};
constexpr Milliseconds kStep{20};
constexpr Milliseconds kAcknowledgementLimit{1000};
constexpr Milliseconds kWork{20};

}  // namespace

KeyedServerStandin::KeyedServerStandin(Record& record, const RouterProcess& router, std::string instance)
    : record_(record),
      service_(router.service()),
      instance_(std::move(instance)),
      reports_port_(router.ports().reports),
      port_(router.ports().server),
      keys_(kKeys),
      next_heartbeat_(Clock::now()) {
  server_ = std::make_unique<HttpStandin>(port_, [this](const HttpMessage& request) { return handle(request); });
  heartbeat_thread_ = std::thread([this] { sendHeartbeats(); });
}

KeyedServerStandin::~KeyedServerStandin() {
  stopping_ = true;
  heartbeat_thread_.join();
  server_.reset();
}

std::vector<Clock::time_point> KeyedServerStandin::runs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

std::optional<Clock::time_point> KeyedServerStandin::startDraining() {
  draining_ = true;
  const bool acknowledged = sendHeartbeat();
  return acknowledged ? std::optional(Clock::now()) : std::nullopt;
}

bool KeyedServerStandin::sendHeartbeat() {
  const std::lock_guard<std::mutex> lock(heartbeat_mutex_);
  next_heartbeat_ = Clock::now() + kHeartbeatInterval;
  const std::string state = draining_ ? "draining" : "ready";
  const json body = {{"service", service_},     {"address", "127.0.0.1:" + std::to_string(port_)},
                     {"zone", "pamplemousses"}, {"version", "v1"},
                     {"slots", kSlots},         {"state", state},
                     {"coldRemaining", "0ms"},  {"callSeq", ++sequence_}};
  const auto answer =
      call(reports_port_, formatRequest("POST", "/instances/" + instance_ + "/heartbeat", {{"host", "h"}}, body.dump()),
           kAcknowledgementLimit);
  const bool acknowledged = answer && answer->status() == kOk;
  record_.write("heartbeat " + std::to_string(sequence_) + " of " + instance_ + ", " + state +
                (acknowledged ? ": acknowledged" : ": not acknowledged"));
  return acknowledged;
}

void KeyedServerStandin::sendHeartbeats() {
  const auto is_due = [this] {
    const std::lock_guard<std::mutex> lock(heartbeat_mutex_);
    return Clock::now() >= next_heartbeat_;
  };
  while (!stopping_) {
    if (is_due()) {
      sendHeartbeat();
    }
    std::this_thread::sleep_for(kStep);
  }
}

std::optional<std::string> KeyedServerStandin::handle(const HttpMessage& request) {
  if (request.secondWord() == "/health") {
    return formatResponse(kOk, {{"x-instance-id", instance_}, {"x-instance-load", "0,0,18"}}, "");
  }
  if (request.header("x-expect-instance") != instance_) {
    return formatResponse(kMisdirected,
                          {{"x-instance-id", instance_}, {"x-request-id", request.header("x-request-id")}}, "");
  }
  if (request.secondWord() == "/grant") {
    return grant(request);
  }
  return request.secondWord() == "/release" ? release(request) : run(request);
}

std::string KeyedServerStandin::grant(const HttpMessage& request) {
  const json body = json::parse(request.body);
  const int first = body.at("rangeStart");
  const int last = body.at("targetVersion");
  const std::uint64_t fence = body.at("fence");
  const Milliseconds hold(std::atoi(body.at("hold_time").get<std::string>().c_str()));
  const Headers headers = {{"x-request-id", request.header("x-request-id")}, {"x-instance-id", instance_}};
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto begin = keys_.begin() + first;
  const auto end = keys_.begin() + last + 1;
  if (std::any_of(begin, end, [fence](const Held& held) { return held.seen > fence; })) {
    return formatResponse(kConflict, headers, "");
  }
  std::for_each(begin, end, [&](Held& held) { held = {fence, Clock::now() + hold}; });
  return formatResponse(kOk, headers, "");
}

std::string KeyedServerStandin::release(const HttpMessage& request) {
  const json body = json::parse(request.body);
  const int first = body.at("rangeStart");
  const int last = body.at("targetVersion");
  const std::uint64_t fence = body.at("fence");
  const std::lock_guard<std::mutex> lock(mutex_);
  std::for_each(keys_.begin() + first, keys_.begin() + last + 1, [fence](Held& held) {
    held.seen = std::max(held.seen, fence);
    held.until = {};
  });
  record_.write(instance_ + " released keys " + std::to_string(first) + " to " + std::to_string(last));
  return formatResponse(kOk,
                        {{"x-request-id", request.header("x-request-id")},
                         {"x-instance-id", instance_},
                         {"x-handover", "h-" + std::to_string(fence)}},
                        "");
}

std::string KeyedServerStandin::run(const HttpMessage& request) {
  const std::string id = request.header("x-request-id");
  const int key = std::clamp(std::atoi(request.header("x-shard-key").c_str()), 0, kKeys - 1);
  Headers headers = {{"x-request-id", id}, {"x-instance-id", instance_}};
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Held& held = keys_[static_cast<std::size_t>(key)];
    if (held.until <= Clock::now()) {
      headers["x-not-executed"] = "1";
      return formatResponse(kMisdirected, headers, "");
    }
    runs_.push_back(Clock::now());
    record_.write("ran " + id + " on key " + std::to_string(key) + " at " + instance_);
  }
  std::this_thread::sleep_for(kWork);
  headers["x-response-seal"] = "seal-" + id;
  return formatResponse(kOk, headers, "answer to " + id);
}

}  // namespace review
