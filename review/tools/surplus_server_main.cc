/// @file
/// Program `review-surplus-server`: an upstream of a service that is divided by key, as the platform's pages describe
/// it. It differs from `standin-keys` in three points that the pages name:
///   - a new connection holds a slot for a moment; a request that finds no free slot is queued, and refused as not run
///     if the queue is full;
///   - it closes connections that are idle for a while;
///   - it can be faulty: it then sends a surplus answer, a copy of its last one, late, in the place where the next
///     answer on that connection is due. `--surplus refusals`: copies of refusals of requests, with their id;
///     `--surplus grants`: copies of answers to grants, where the next command is a release.
///
/// SIGTERM makes it report that it is draining; it goes on serving until it is killed.
///
/// The log has a line "milliseconds-since-1970 event ..." for each of: `begin ID KEY TOKEN`, `end ID KEY`,
/// `refused ID STATUS`, `take FIRST LAST TOKEN HOLD_MS`, `release FIRST LAST TOKEN`, `released FIRST LAST`,
/// `surplus WHAT`, `drain`.

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>

#include "review/tools/blocking_connection.h"
#include "shedlever/identifiers.h"
#include "standins/standin_process.h"

namespace {

using nlohmann::json;
using shedlever::Endpoint;
using shedlever::review::Connection;
using shedlever::review::connectTo;
using shedlever::review::listenAt;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::size_t kKeyCount = 65536;
constexpr milliseconds kHeartbeatInterval(1000);
/// How long a new connection holds a slot: the figure of the small sites.
constexpr milliseconds kNewConnectionHold(1);
/// An idle connection is closed after this time.
constexpr milliseconds kIdleTimeout(500);
/// Requests that wait for a slot; one more is refused.
constexpr int kMaxQueued = 2;

std::atomic<bool> draining{false};

struct Options {
  Endpoint listen;
  Endpoint reports_to;
  std::string service;
  std::string id;
  int slots = 1;
  milliseconds work{};
  bool surplus_refusals = false;
  bool surplus_grants = false;
};

struct Request {
  std::string method;
  std::string path;
  /// By name in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
  }
};

std::optional<Request> readRequest(Connection& connection) {
  const std::optional<std::string> head = connection.readHead();
  if (!head) {
    return std::nullopt;
  }
  Request request;
  const std::size_t method_end = head->find(' ');
  const std::size_t path_end = head->find(' ', method_end + 1);
  request.method = head->substr(0, method_end);
  request.path = head->substr(method_end + 1, path_end - method_end - 1);
  for (std::size_t at = head->find("\r\n") + 2; at + 2 < head->size();) {
    const std::size_t end = head->find("\r\n", at);
    const std::size_t colon = head->find(':', at);
    std::string name = head->substr(at, colon - at);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    const std::size_t value = head->find_first_not_of(' ', colon + 1);
    request.headers[name] = head->substr(value, end - value);
    at = end + 2;
  }
  const std::string length = request.header("content-length");
  const std::optional<std::string> body = connection.readBody(length.empty() ? 0 : std::stoul(length));
  if (!body) {
    return std::nullopt;
  }
  request.body = *body;
  return request;
}

std::string response(const std::string& status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class Server {
 public:
  Server(Options options, const std::string& log_file)
      : options_(std::move(options)), log_(log_file, std::ios::app), grants_(kKeyCount) {}

  void serve(int socket) {
    Connection connection(socket);
    holdSlot();
    std::string surplus;
    while (std::optional<Request> request = readRequest(connection)) {
      const bool is_command = request->path == "/grant" || request->path == "/release";
      const bool due = !surplus.empty() && (!is_command || request->path == "/release");
      if (due) {
        log("surplus " + surplus.substr(0, surplus.find('\r')));
        connection.write(surplus);
      }
      surplus.clear();
      const std::string answer = is_command ? command(*request) : handle(*request);
      if (!connection.write(answer)) {
        return;
      }
      const bool is_refusal = answer.find("X-Not-Executed") != std::string::npos;
      const bool repeats = (options_.surplus_grants && request->path == "/grant") ||
                           (options_.surplus_refusals && !is_command && is_refusal);
      surplus = repeats ? answer : std::string();
    }
  }

  std::string heartbeat() {
    const json body = {{"service", options_.service},
                       {"address", toString(options_.listen)},
                       {"zone", "z"},
                       {"version", "v1"},
                       {"slots", options_.slots},
                       {"state", draining ? "draining" : "ready"},
                       {"coldRemaining", "0ms"},
                       {"born", started_ms_},
                       {"callSeq", ++sequence_}};
    const std::string text = body.dump();
    return "POST /instances/" + options_.id + "/heartbeat HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n" +
           "Connection: close\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
  }

  void log(const std::string& line) {
    const std::lock_guard<std::mutex> lock(log_mutex_);
    log_ << unixMilliseconds() << " " << line << "\n" << std::flush;
  }

 private:
  struct Grant {
    std::uint64_t token = 0;
    Clock::time_point until{};
  };

  static std::string toString(const Endpoint& endpoint) {
    return endpoint.address + ":" + std::to_string(endpoint.port);
  }

  static long long unixMilliseconds() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
  }

  /// A new connection holds a slot for a moment.
  void holdSlot() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++running_;
    std::thread([this] {
      std::this_thread::sleep_for(kNewConnectionHold);
      const std::lock_guard<std::mutex> end_lock(mutex_);
      --running_;
      work_ended_.notify_all();
    }).detach();
  }

  /// Waits in the queue for a free slot. @return false if the queue is full.
  bool takeSlot(std::unique_lock<std::mutex>& lock) {
    if (running_ >= options_.slots) {
      if (queued_ >= kMaxQueued) {
        return false;
      }
      ++queued_;
      work_ended_.wait(lock, [this] { return running_ < options_.slots; });
      --queued_;
    }
    ++running_;
    return true;
  }

  std::string handle(const Request& request) {
    if (request.path == "/health") {
      return response(draining ? "503 Service Unavailable" : "200 OK", "X-Instance-Id: " + options_.id + "\r\n", "");
    }
    const std::string id = request.header("x-request-id");
    const std::string identity = "X-Request-Id: " + id + "\r\nX-Instance-Id: " + options_.id + "\r\n";
    const std::string key_text = request.header("x-shard-key");
    if (id.empty() || key_text.empty()) {
      return response("400 Bad Request", identity + "X-Not-Executed: 1\r\n", "");
    }
    const auto key = static_cast<std::size_t>(std::stoul(key_text));
    std::unique_lock<std::mutex> lock(mutex_);
    if (request.header("x-expect-instance") != options_.id || grants_.at(key).until <= Clock::now()) {
      log("refused " + id + " 421");
      return response("421 Misdirected Request", identity + "X-Not-Executed: 1\r\n", "");
    }
    if (!takeSlot(lock)) {
      log("refused " + id + " 503");
      return response("503 Service Unavailable", identity + "X-Not-Executed: 1\r\n", "");
    }
    ++running_on_[key];
    log("begin " + id + " " + std::to_string(key) + " " + std::to_string(grants_.at(key).token));
    lock.unlock();
    std::this_thread::sleep_for(options_.work);
    lock.lock();
    --running_;
    if (--running_on_[key] == 0) {
      running_on_.erase(key);
    }
    log("end " + id + " " + std::to_string(key));
    work_ended_.notify_all();
    return response("200 OK", identity + "X-Response-Seal: seal-" + id + "\r\n", "answer to " + id);
  }

  std::string command(const Request& request) {
    // An answer carries the id of its call, if that has one.
    const std::string id = request.header("x-request-id");
    const std::string identity =
        (id.empty() ? "" : "X-Request-Id: " + id + "\r\n") + "X-Instance-Id: " + options_.id + "\r\n";
    if (request.header("x-expect-instance") != options_.id) {
      return response("421 Misdirected Request", identity + "X-Not-Executed: 1\r\n", "");
    }
    const json body = json::parse(request.body);
    const std::size_t first = body.at("rangeStart");
    const std::size_t last = body.at("targetVersion");
    const std::uint64_t token = body.at("fence");
    const std::string range = std::to_string(first) + " " + std::to_string(last);
    std::unique_lock<std::mutex> lock(mutex_);
    if (request.path == "/grant") {
      const std::string hold = body.at("hold_time");
      return response(grant(first, last, token, milliseconds(std::stoi(hold))) ? "200 OK" : "409 Conflict", identity,
                      "");
    }
    for (std::size_t key = first; key <= last; ++key) {
      grants_[key] = {std::max(grants_[key].token, token), {}};
    }
    log("release " + range + " " + std::to_string(token));
    work_ended_.wait(lock, [&] {
      const auto running = running_on_.lower_bound(first);
      return running == running_on_.end() || running->first > last;
    });
    log("released " + range);
    return response("200 OK", identity + "X-Handover: h-" + options_.id + "\r\n", "");
  }

  /// @return false if a higher fencing token was seen on one of the keys.
  bool grant(std::size_t first, std::size_t last, std::uint64_t token, milliseconds hold) {
    for (std::size_t key = first; key <= last; ++key) {
      if (grants_[key].token > token) {
        return false;
      }
    }
    const Clock::time_point until = Clock::now() + hold;
    for (std::size_t key = first; key <= last; ++key) {
      grants_[key] = {token, std::max(grants_[key].until, until)};
    }
    log("take " + std::to_string(first) + " " + std::to_string(last) + " " + std::to_string(token) + " " +
        std::to_string(hold.count()));
    return true;
  }

  Options options_;
  std::mutex log_mutex_;
  std::ofstream log_;
  std::mutex mutex_;
  std::condition_variable work_ended_;
  std::vector<Grant> grants_;
  /// Slots in use.
  int running_ = 0;
  int queued_ = 0;
  /// Number of running requests by key.
  std::map<std::size_t, int> running_on_;
  long long started_ms_ = unixMilliseconds();
  std::uint64_t sequence_ = 0;
};

void sendHeartbeats(Server& server, const Endpoint& to) {
  while (true) {
    const int connected = connectTo(to);
    if (connected >= 0) {
      Connection connection(connected);
      connection.write(server.heartbeat());
      connection.readHead();
    }
    std::this_thread::sleep_for(kHeartbeatInterval);
  }
}

[[noreturn]] void run(Server& server, const Options& options) {
  const int listener = listenAt(options.listen);
  if (listener < 0) {
    std::cerr << "cannot listen\n";
    std::exit(EXIT_FAILURE);
  }
  std::thread([&server, &options] { sendHeartbeats(server, options.reports_to); }).detach();
  while (true) {
    const int accepted = accept(listener, nullptr, nullptr);
    if (accepted >= 0) {
      const int on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const timeval idle{0, std::chrono::microseconds(kIdleTimeout).count()};
      setsockopt(accepted, SOL_SOCKET, SO_RCVTIMEO, &idle, sizeof(idle));
      std::thread([&server, accepted] { server.serve(accepted); }).detach();
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  namespace flags = boost::program_options;
  Options options;
  std::string listen;
  std::string reports_to;
  std::string surplus;
  std::string log_file;
  unsigned work_ms = 100;
  flags::options_description description("review-surplus-server: an upstream that may send surplus answers");
  description.add_options()("help", "this text")("listen", flags::value(&listen)->required(), "IP:PORT")(
      "reports-to", flags::value(&reports_to)->required(), "IP:PORT to which heartbeats are sent")(
      "service", flags::value(&options.service)->required(), "its service")(
      "id", flags::value(&options.id)->required(), "its id")("slots", flags::value(&options.slots), "its slots")(
      "work-ms", flags::value(&work_ms), "duration of a request")(
      "surplus", flags::value(&surplus), "refusals or grants: what it sends surplus copies of")(
      "log", flags::value(&log_file)->required(), "log file");
  flags::variables_map values;
  flags::store(flags::parse_command_line(argc, argv, description), values);
  flags::notify(values);
  const auto listen_endpoint = shedlever::standins::parseEndpoint(listen);
  const auto reports_endpoint = shedlever::standins::parseEndpoint(reports_to);
  if (!listen_endpoint || !reports_endpoint) {
    std::cerr << description;
    return EXIT_FAILURE;
  }
  options.listen = *listen_endpoint;
  options.reports_to = *reports_endpoint;
  options.work = milliseconds(work_ms);
  options.surplus_refusals = surplus == "refusals";
  options.surplus_grants = surplus == "grants";
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { draining = true; });
  Server server(options, log_file);
  run(server, options);
}
