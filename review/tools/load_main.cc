/// @file
/// Program `review-load`: clients of one router. Each client sends one request after the other over a connection that
/// it keeps, and writes to a record what it sent and what became of it.
///
/// Lines of the record, each with the milliseconds since 1970 in front:
///   sent ID kept|new        the request is about to be sent, over a kept or a new connection
///   answered ID STATUS      a complete response arrived
///   cut ID                  the connection ended after the request was sent, without a complete response
///   silent ID               the client has left without a response
///   unsent ID               no connection: nothing of the request was sent

#include <boost/program_options.hpp>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "source/net/http_client.h"
#include "standins/standin_process.h"

namespace {

using namespace shedlever;

struct LoadOptions {
  Endpoint router;
  std::string host;
  std::string path;
  std::string method;
  std::string prefix;
  Duration deadline{};
  /// A client that has no response after this time closes its connection.
  Duration patience{};
  Duration pause{};
  std::size_t body_bytes = 0;
  /// Key of the first client's requests; the others' follow in steps. Negative: the requests carry no key.
  int first_key = -1;
  /// Distance between the keys of two clients.
  std::size_t key_step = 5003;
};

constexpr std::size_t kKeyCount = 65536;

std::string unixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

class Record {
 public:
  explicit Record(const std::string& file) : out_(file, std::ios::app) {}
  void write(const std::string& line) { out_ << unixMilliseconds() << " " << line << "\n" << std::flush; }

 private:
  std::ofstream out_;
};

/// One client: sends its next request a pause after the end of the one before.
class LoadClient {
 public:
  LoadClient(EventLoop& loop, const LoadOptions& options, std::size_t number, Record& record)
      : loop_(loop), options_(options), number_(number), record_(record), http_(loop, connectionOf(options)) {}

  void sendNext() {
    const std::string id = options_.prefix + "-" + std::to_string(number_) + "-" + std::to_string(++sent_);
    const auto deadline_ms = std::chrono::duration_cast<std::chrono::milliseconds>(options_.deadline).count();
    HttpRequest request{
        options_.method,
        options_.path,
        {{"Host", options_.host}, {"X-Request-Id", id}, {"X-Request-Deadline", std::to_string(deadline_ms)}},
        std::string(options_.body_bytes, 'x')};
    if (options_.first_key >= 0) {
      const std::size_t key = (static_cast<std::size_t>(options_.first_key) + number_ * options_.key_step) % kKeyCount;
      request.headers.push_back({"X-Shard-Key", std::to_string(key)});
    }
    record_.write("sent " + id + (http_.openConnections() > 0 ? " kept" : " new"));
    http_.send(std::move(request), options_.patience,
               [this, id](const HttpExchangeResult& exchange) { onEnd(id, exchange); });
  }

 private:
  static HttpClientConfig connectionOf(const LoadOptions& options) {
    HttpClientConfig config;
    config.server = options.router;
    config.max_connections = 1;
    config.preserve_host = true;
    return config;
  }

  void onEnd(const std::string& id, const HttpExchangeResult& exchange) {
    switch (exchange.status) {
      case HttpExchangeStatus::Complete:
        record_.write("answered " + id + " " + std::to_string(exchange.response.status));
        break;
      case HttpExchangeStatus::NotSent:
        record_.write("unsent " + id);
        break;
      case HttpExchangeStatus::ConnectionLost:
      case HttpExchangeStatus::Malformed:
        record_.write("cut " + id);
        break;
      case HttpExchangeStatus::TimedOut:
      case HttpExchangeStatus::Cancelled:
        record_.write("silent " + id);
        break;
    }
    loop_.runAfter(options_.pause, [this] { sendNext(); });
  }

  EventLoop& loop_;
  const LoadOptions& options_;
  std::size_t number_;
  Record& record_;
  HttpClient http_;
  std::size_t sent_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  LoadOptions load;
  std::string router;
  std::string record_file;
  std::size_t clients = 1;
  unsigned seconds = 1;
  unsigned deadline_ms = 1000;
  unsigned leave_ms = 0;
  unsigned pause_ms = 0;
  options::options_description flags("review-load: clients of one router");
  flags.add_options()("help", "this text")("router", options::value(&router)->required(), "IP:PORT for clients")(
      "host", options::value(&load.host)->required(), "host of the requests")(
      "path", options::value(&load.path)->required(), "path of the requests")(
      "method", options::value(&load.method)->default_value("POST"), "method of the requests")(
      "prefix", options::value(&load.prefix)->required(), "what the ids of the requests begin with")(
      "clients", options::value(&clients), "number of clients")("seconds", options::value(&seconds), "time to run")(
      "deadline-ms", options::value(&deadline_ms), "deadline of a request")(
      "leave-ms", options::value(&leave_ms), "time that a client waits for a response; 0: up to the deadline")(
      "pause-ms", options::value(&pause_ms), "pause of a client between two requests")(
      "body-bytes", options::value(&load.body_bytes), "size of the requests' bodies")(
      "first-key", options::value(&load.first_key), "the requests carry keys, the first client's after this one")(
      "key-step", options::value(&load.key_step), "distance between the keys of two clients")(
      "record", options::value(&record_file)->required(), "file to which the record is appended");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, flags), values);
  options::notify(values);
  const auto endpoint = standins::parseEndpoint(router);
  if (!endpoint) {
    std::cerr << flags;
    return EXIT_FAILURE;
  }
  load.router = *endpoint;
  load.deadline = std::chrono::milliseconds(deadline_ms);
  load.patience = std::chrono::milliseconds(leave_ms == 0 ? deadline_ms : leave_ms);
  load.pause = std::chrono::milliseconds(pause_ms);
  EventLoop loop;
  Record record(record_file);
  std::vector<std::unique_ptr<LoadClient>> running;
  for (std::size_t i = 0; i < clients; ++i) {
    running.push_back(std::make_unique<LoadClient>(loop, load, i + 1, record));
    running.back()->sendNext();
  }
  loop.runUntil([] { return false; }, std::chrono::seconds(seconds));
  return EXIT_SUCCESS;
}
