#include "standins/router/key_server.h"

#include <unistd.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "shedlever/router_frames.h"

namespace shedlever::standins {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
constexpr std::size_t kQueue = 64;
constexpr std::uint64_t kMicrosecondsPerMillisecond = 1000;
constexpr Duration kReportInterval = std::chrono::milliseconds(1000);
/// Between reports while keys are let go of.
constexpr Duration kUrgentReportInterval = std::chrono::milliseconds(100);
constexpr Duration kReportTimeout = std::chrono::milliseconds(800);
/// Its clock runs slow: a grant lasts this much longer than it says.
constexpr double kSlowClock = 1.02;

}  // namespace

KeyServer::KeyServer(EventLoop& loop, const KeyServerConfig& config)
    : loop_(loop),
      config_(config),
      random_(config.seed),
      instance_(config.id.empty()
                    ? "i-" + std::to_string(getpid()) + "-" + std::to_string(wallClockMicroseconds() % 1'000'000'000)
                    : config.id),
      started_ms_(wallClockMicroseconds() / kMicrosecondsPerMillisecond),
      log_(config.log_file, std::ios::app),
      holds_(kKeyCount),
      assigned_(clock_, [this](const KeyRange& keys, TimePoint) { return isRunningOn(keys.first, keys.last); }) {}

leaf::result<std::unique_ptr<KeyServer>> KeyServer::start(EventLoop& loop, const KeyServerConfig& config) {
  std::unique_ptr<KeyServer> server(new KeyServer(loop, config));
  const auto handler = [raw = server.get()](const StandinRequest& request, const StandinResponder& responder) {
    raw->handle(request, responder);
  };
  BOOST_LEAF_AUTO(http, StandinHttpServer::listen(loop, config.listen, 0, handler));
  server->http_ = std::move(http);
  server->log("up " + server->instance_);
  if (config.reports_to.port != 0) {
    server->reportTo(config.reports_to);
  }
  return server;
}

void KeyServer::reportTo(const Endpoint& reports) {
  HttpClientConfig reporter;
  reporter.server = reports;
  reporter_ = std::make_unique<HttpClient>(loop_, reporter);
  report();
}

void KeyServer::leave(std::function<void()> acknowledged) {
  draining_ = true;
  on_acknowledged_ = std::move(acknowledged);
}

bool KeyServer::happens(double chance) { return std::uniform_real_distribution<>(0, 1)(random_) < chance; }

void KeyServer::log(const std::string& line) {
  // A checker tells lives apart, also of one id.
  log_ << clock_.now().time_since_epoch().count() << " " << instance_ << "/" << started_ms_ << " " << line << "\n"
       << std::flush;
}

void KeyServer::report() {
  json body = {{"service", config_.service},
               {"address", toString(http_->endpoint())},
               {"zone", "z"},
               {"version", "v1"},
               {"slots", config_.slots},
               {"state", draining_ ? "draining" : "ready"},
               {"coldRemaining", "0ms"},
               {"born", started_ms_},
               {"callSeq", ++sequence_}};
  const KeyReport keys = assigned_.report();
  if (config_.keys_by_heartbeat) {
    body["holds"] = json::array();
    for (const ReportedRange& range : keys.held) {
      body["holds"].push_back({range.first, range.last, range.token});
    }
    body["released"] = json::array();
    for (const ReleasedRange& range : keys.released) {
      body["released"].push_back({range.first, range.last, range.handover});
    }
  }
  reporter_->send({"POST", "/instances/" + instance_ + "/heartbeat", {}, body.dump()}, kReportTimeout,
                  [this, leaves = draining_, keys, sent = clock_.now()](const HttpExchange& exchange) {
                    if (leaves && exchange.status == HttpExchangeStatus::Complete && on_acknowledged_) {
                      std::exchange(on_acknowledged_, {})();
                    }
                    onAcknowledged(exchange, keys, sent);
                  });
  reportAfter(assigned_.isReleasing() ? kUrgentReportInterval : kReportInterval);
}

void KeyServer::reportAfter(Duration pause) {
  loop_.runAfter(pause, [this, alive = alive_, sequence = sequence_] {
    if (*alive && sequence == sequence_) {
      report();
    }
  });
}

void KeyServer::onAcknowledged(const HttpExchange& exchange, const KeyReport& reported, TimePoint sent) {
  if (exchange.status != HttpExchangeStatus::Complete || exchange.response.status != kOk) {
    return;
  }
  const json body = json::parse(exchange.response.body, nullptr, false);
  std::optional<KeyAssignment> assignment;
  if (body.is_object() && body.contains("holds")) {
    assignment.emplace();
    assignment->hold_duration = std::chrono::milliseconds(std::stoi(body.at("hold_time").get<std::string>()));
    for (const json& row : body.at("holds")) {
      assignment->ranges.push_back({row.at(0), row.at(1), row.at(2), row.at(3)});
    }
  }
  for (const AssignedRange& range : assigned_.onAcknowledged(assignment, reported.released, sent)) {
    log("take " + std::to_string(range.first) + " " + std::to_string(range.last) + " " + std::to_string(range.token));
  }
  if (assigned_.isReleasing()) {
    reportAfter(kUrgentReportInterval);
  }
}

std::uint64_t KeyServer::tokenFor(int key) const {
  if (config_.keys_by_heartbeat) {
    return assigned_.tokenOf(static_cast<Key>(key));
  }
  return holds_[key].until > clock_.now() ? holds_[key].token : 0;
}

bool KeyServer::isRunningOn(int first, int last) const {
  const auto key = running_keys_.lower_bound(first);
  return key != running_keys_.end() && key->first <= last;
}

void KeyServer::handle(const StandinRequest& request, const StandinResponder& responder) {
  StandinResponder answer = responder;
  if (request.path == "/faults") {
    const json document = json::parse(request.http.body, nullptr, false);
    faults_ = {document.value("lost", 0.0), document.value("broken", 0.0), document.value("late_orders", 0.0),
               document.value("slow", 1.0)};
    answer.replyJson(kOk, "{}");
  } else if (request.path == "/health") {
    answer.reply({kOk, {{"X-Instance-Id", instance_}}, {}});
  } else if (request.path == "/grant" || request.path == "/release") {
    handleOrder(request, responder);
  } else {
    handleWork(request, responder);
  }
}

void KeyServer::handleOrder(const StandinRequest& request, const StandinResponder& responder) {
  const bool grants = request.path == "/grant";
  if (happens(faults_.late_orders)) {
    withheld_.push_back(responder);
    const std::chrono::milliseconds delay(2000 + random_() % 6000);
    loop_.runAfter(delay, [this, body = request.http.body, grants, responder, alive = alive_] {
      if (!*alive) {
        return;
      }
      if (grants) {
        grant(body, true);
      } else {
        release(body, responder);
      }
    });
    return;
  }
  StandinResponder answer = responder;
  if (!grants) {
    release(request.http.body, responder);
    return;
  }
  answer.replyJson(grant(request.http.body, false) ? kOk : kConflict, "{}");
}

bool KeyServer::grant(const std::string& body, bool late) {
  const json order = json::parse(body);
  const int first = order.at("rangeStart");
  const int last = order.at("targetVersion");
  const std::uint64_t token = order.at("fence");
  for (int key = first; key <= last; ++key) {
    if (holds_[key].token > token) {
      return false;
    }
  }
  const std::chrono::milliseconds hold(std::stoi(order.at("hold_time").get<std::string>()));
  const TimePoint until = clock_.now() + std::chrono::duration_cast<Duration>(hold * kSlowClock);
  for (int key = first; key <= last; ++key) {
    holds_[key] = {token, std::max(holds_[key].until, until)};
  }
  log((late ? "late-take " : "take ") + std::to_string(first) + " " + std::to_string(last) + " " +
      std::to_string(token));
  return true;
}

void KeyServer::release(const std::string& body, const StandinResponder& responder) {
  const json order = json::parse(body);
  const int first = order.at("rangeStart");
  const int last = order.at("targetVersion");
  const std::uint64_t token = order.at("fence");
  for (int key = first; key <= last; ++key) {
    holds_[key].token = std::max(holds_[key].token, token);
    holds_[key].until = {};
  }
  log("release " + std::to_string(first) + " " + std::to_string(last) + " " + std::to_string(token));
  releases_.push_back({first, last, responder});
  answerReleases();
}

void KeyServer::answerReleases() {
  std::erase_if(releases_, [this](const Release& release) {
    if (isRunningOn(release.first, release.last)) {
      return false;
    }
    StandinResponder answer = release.responder;
    answer.reply({kOk, {{"X-Handover", "h-" + instance_}}, {}});
    return true;
  });
}

void KeyServer::answer(const Work& work, int status, bool not_run) {
  HttpResponse response{status, {{"X-Request-Id", work.id}, {"X-Instance-Id", instance_}}, {}};
  if (not_run) {
    response.headers.push_back({"X-Not-Executed", "1"});
  } else {
    response.headers.push_back({"X-Response-Seal", "seal-" + work.id});
    response.body = "answer to " + work.id;
    const auto bytes = work.request.query.find("bytes");
    if (bytes != work.request.query.end()) {
      response.body.resize(std::max<std::size_t>(response.body.size(), std::stoul(bytes->second)), '.');
    }
  }
  StandinResponder responder = work.responder;
  responder.reply(response);
}

void KeyServer::handleWork(const StandinRequest& request, const StandinResponder& responder) {
  auto work = std::make_shared<Work>(Work{request, responder, request.header("X-Request-Id"), -1});
  const std::string key = request.header("X-Shard-Key");
  if (config_.divided_by_key && !key.empty()) {
    work->key = std::stoi(key);
  }
  if (work->id.empty() || (config_.divided_by_key && work->key < 0)) {
    answer(*work, kBadRequest, true);
  } else if (request.header("X-Expect-Instance") != instance_ || (work->key >= 0 && tokenFor(work->key) == 0)) {
    answer(*work, kMisdirected, true);
  } else if (running_ < config_.slots) {
    startWork(work);
  } else if (waiting_.size() < kQueue) {
    waiting_.push_back(work);
  } else {
    answer(*work, kUnavailable, true);
  }
}

void KeyServer::startWork(const std::shared_ptr<Work>& work) {
  ++running_;
  if (work->key >= 0) {
    ++running_keys_[work->key];
  }
  const std::uint64_t token = work->key >= 0 ? tokenFor(work->key) : 0;
  log("begin " + work->id + " " + std::to_string(work->key) + " " + std::to_string(token));
  const auto time = std::chrono::duration_cast<Duration>(config_.work * faults_.slow);
  ++begun_;
  if (isFatal(*work)) {
    config_.on_fatal_begin();
  }
  loop_.runAfter(time, [this, work, alive = alive_] {
    if (*alive) {
      endWork(work);
    }
  });
}

bool KeyServer::isFatal(const Work& work) const {
  return !config_.fatal_path.empty() && work.request.path == config_.fatal_path;
}

void KeyServer::endWork(const std::shared_ptr<Work>& work) {
  if (isFatal(*work)) {
    config_.on_fatal_end();
    return;
  }
  --running_;
  if (work->key >= 0 && --running_keys_[work->key] == 0) {
    running_keys_.erase(work->key);
    answerReleases();
  }
  const bool lapsed = work->key >= 0 && !config_.keys_by_heartbeat && holds_[work->key].until <= clock_.now() &&
                      holds_[work->key].until != TimePoint{};
  if (lapsed) {
    answer(*work, kServerError, false);
  } else if (happens(faults_.lost)) {
    StandinResponder responder = work->responder;
    responder.drop();
  } else if (happens(faults_.broken)) {
    StandinResponder responder = work->responder;
    responder.replyCut({kOk, {{"X-Request-Id", work->id}, {"X-Response-Seal", "s"}}, "answer to " + work->id});
  } else {
    answer(*work, kOk, false);
  }
  if (!waiting_.empty()) {
    const std::shared_ptr<Work> next = waiting_.front();
    waiting_.pop_front();
    if (next->key >= 0 && tokenFor(next->key) == 0) {
      answer(*next, kMisdirected, true);
    } else {
      startWork(next);
    }
  }
}

}  // namespace shedlever::standins
