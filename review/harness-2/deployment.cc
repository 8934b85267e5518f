#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace review {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kSlots = 18;
/// Time that the servers leave between two heartbeats; they watch for their end more often.
constexpr Milliseconds kHeartbeatInterval{1500};
constexpr Milliseconds kStep{50};
/// What the pages set as the longest time for the acknowledgement of a heartbeat.
constexpr Milliseconds kAcknowledgementLimit{1000};
constexpr Milliseconds kDeadline{2500};

std::string endpoint(int port) { return "127.0.0.1:" + std::to_string(port); }

std::string hexadecimal(int version) {
  std::string text(8, '0');
  std::snprintf(text.data(), text.size() + 1, "%08x", static_cast<unsigned>(version));
  return text;
}

/// What `deploy/settings.json.template` makes of the settings of a small deployment.
json settingsOf(const RouterProcess& router, int store_port) {
  const MachinePorts& ports = router.ports();
  return {{"interface", "platform"},
          {"node", {{"name", router.node()}, {"zone", "pamplemousses"}, {"service", router.service()}}},
          {"listen",
           {{"clients", endpoint(ports.clients)},
            {"peers", endpoint(ports.peers)},
            {"readiness", endpoint(ports.readiness)},
            {"reports", endpoint(ports.reports)}}},
          {"connect", {{"server", endpoint(ports.server)}, {"store", endpoint(store_port)}}},
          {"link", {{"mbps", 1000.0}}},
          {"machine", {{"memory_mb", 260}}},
          {"retry", {{"ratio", 0.2}, {"slack", 60}}},
          {"stop", {{"grace", "6s"}, {"drain", "2000ms"}}},
          {"config", {{"within", "2000ms"}}},
          {"evacuation", json::object()},
          {"ownership", {{"grants", "request"}, {"shared_writes_from", 0}, {"longest_grant", "10000ms"}}}};
}

}  // namespace

bool withTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

void Record::write(const std::string& line) {
  const auto passed = std::chrono::duration_cast<Milliseconds>(Clock::now() - start_);
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << passed.count() << " ms  " << line << std::endl;
}

RouterProcess::RouterProcess(std::string directory, std::string node, std::string service, int store_port)
    : directory_(std::move(directory)), node_(std::move(node)), service_(std::move(service)) {
  std::ofstream(directory_ + "/" + node_ + ".json") << settingsOf(*this, store_port).dump(2);
}

RouterProcess::~RouterProcess() { end(SIGKILL); }

void RouterProcess::start() {
  const std::string settings = directory_ + "/" + node_ + ".json";
  const std::string log = directory_ + "/" + node_ + ".log";
  // The child may not allocate memory between fork and exec, since other threads run.
  const std::string config = "SHEDLEVER_CONFIG=" + settings;
  const std::array<const char*, 4> arguments = {"target/shedleverd", "--settings", settings.c_str(), nullptr};
  const std::array<const char*, 3> environment = {config.c_str(), "LANG=C.UTF-8", nullptr};
  process_ = fork();
  if (process_ == 0) {
    // Ends with this program, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execve(arguments[0], const_cast<char* const*>(arguments.data()), const_cast<char* const*>(environment.data()));
    _exit(kCouldNotRun);
  }
}

void RouterProcess::end(int signal) {
  if (process_ > 0) {
    kill(process_, signal);
    waitpid(process_, nullptr, 0);
  }
  process_ = -1;
}

std::size_t RouterProcess::memoryBytes() const {
  std::ifstream status("/proc/" + std::to_string(process_) + "/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  status >> total_pages >> resident_pages;
  return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

bool RouterProcess::waitUntilReady(Milliseconds timeout) const {
  const Clock::time_point until = Clock::now() + timeout;
  while (Clock::now() < until) {
    const auto answer = call(ports_.readiness, formatRequest("GET", "/readiness", {{"host", "h"}}, ""), kStep * 4);
    if (answer && answer->status() == kOk) {
      return true;
    }
    std::this_thread::sleep_for(kStep);
  }
  return false;
}

ServerStandin::ServerStandin(Record& record, const RouterProcess& router, std::string instance, Milliseconds work)
    : record_(record),
      service_(router.service()),
      instance_(std::move(instance)),
      reports_port_(router.ports().reports),
      port_(router.ports().server),
      work_(work) {
  server_ = std::make_unique<HttpStandin>(port_, [this](const HttpMessage& request) { return handle(request); });
  heartbeat_thread_ = std::thread([this] { sendHeartbeats(); });
}

ServerStandin::~ServerStandin() {
  stopping_ = true;
  heartbeat_thread_.join();
  server_.reset();
}

bool ServerStandin::sendHeartbeat(int sequence) {
  const json body = {
      {"service", service_}, {"address", endpoint(port_)}, {"zone", "pamplemousses"}, {"version", "v1"},
      {"slots", kSlots},     {"state", "ready"},           {"coldRemaining", "0ms"},  {"callSeq", sequence}};
  const auto answer =
      call(reports_port_, formatRequest("POST", "/instances/" + instance_ + "/heartbeat", {{"host", "h"}}, body.dump()),
           kAcknowledgementLimit);
  return answer && answer->status() == kOk;
}

bool ServerStandin::deregister() {
  const auto answer =
      call(reports_port_, formatRequest("POST", "/instances/" + instance_ + "/deregister", {{"host", "h"}}, ""),
           kAcknowledgementLimit);
  return answer && answer->status() == kOk;
}

void ServerStandin::sendHeartbeats() {
  Clock::time_point next = Clock::now();
  while (!stopping_) {
    if (!leaving_ && !dark_ && Clock::now() >= next) {
      next = Clock::now() + kHeartbeatInterval;
      sendHeartbeat(++sequence_);
    }
    std::this_thread::sleep_for(kStep);
  }
}

void ServerStandin::startLeaving() { leaving_ = true; }

void ServerStandin::goDark() {
  dark_ = true;
  server_->silenceOpenConnections();
  server_->setStalled(true);
}

void ServerStandin::startStall(int factor) {
  slowness_ = factor;
  server_->setStalled(true);
}

void ServerStandin::endStall() {
  slowness_ = 1;
  server_->setStalled(false);
}

std::vector<ServerStandin::Run> ServerStandin::runs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

std::optional<std::string> ServerStandin::handle(const HttpMessage& request) {
  const std::string id = request.header("x-request-id");
  if (request.secondWord() == "/health") {
    return formatResponse(leaving_ ? kUnavailable : kOk, {{"x-instance-id", instance_}, {"x-instance-load", "0,0,18"}},
                          "");
  }
  if (request.header("x-expect-instance") != instance_) {
    return formatResponse(kMisdirected, {{"x-instance-id", instance_}, {"x-request-id", id}}, "");
  }
  if (id.empty()) {
    return formatResponse(kBadRequest, {{"x-not-executed", "1"}}, "");
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_.push_back({id, Clock::now()});
  }
  record_.write("ran " + id + " at " + instance_ + " of service " + service_);
  std::this_thread::sleep_for(work_ * slowness_.load());
  Headers headers = {{"x-request-id", id}, {"x-instance-id", instance_}, {"x-response-seal", "seal-" + id}};
  if (leaving_) {
    headers["connection"] = "close";
  }
  return formatResponse(kOk, headers, "answer to " + id);
}

json makeConfig(int version, const std::vector<RouteTo>& routes, const std::vector<std::string>& services) {
  json config = {{"version", hexadecimal(version)}, {"routes", json::array()}, {"services", json::array()}};
  for (const RouteTo& route : routes) {
    config["routes"].push_back({{"name", "r-" + route.name},
                                {"host", "h.example"},
                                {"pathPrefix", "/" + route.name + "/"},
                                {"kind", "idempotent"},
                                {"timeout", "1200ms"},
                                {"targetLatency", "600ms"},
                                {"priority", 2},
                                {"service", route.service},
                                {"maxAttempts", 2}});
  }
  for (const std::string& service : services) {
    config["services"].push_back(
        {{"name", service}, {"healthPath", "/health"}, {"maxConnections", 120}, {"protocol", "h1"}, {"tls", false}});
  }
  config["limits"] = {
      {"maxHeaderBytes", 16384}, {"maxBodyBytes", 67108864}, {"headerTimeout", "3000ms"}, {"idleTimeout", "15000ms"}};
  return config;
}

int sendRequest(Record& record, const RouterProcess& router, const std::string& route, const std::string& id) {
  record.write("sent " + id + " to " + router.node() + " on route " + route);
  const auto answer = call(
      router.ports().clients,
      formatRequest(
          "GET", "/" + route + "/2f",
          {{"host", "h.example"}, {"x-request-id", id}, {"x-request-deadline", std::to_string(kDeadline.count())}}, ""),
      kDeadline);
  const int status = answer ? answer->status() : 0;
  record.write("answered " + id + " with " + std::to_string(status));
  return status;
}

}  // namespace review
