/// @file
/// Program `review-full-upstream`: the connections of an upstream that resets connections once it is full, as the
/// platform's pages say of some services. It stands in front of a `standin-keys`, which runs the requests:
///   - requests go on to `standin-keys` and its answers come back. A request whose connection the caller closes runs
///     on, as the pages allow;
///   - while `--most` requests run or wait there, the upstream takes no request and no connection: it resets the
///     connection on which a request comes, and each new connection. For the latter it closes its listening socket, so
///     that the kernel answers the connection attempt with a reset;
///   - heartbeats of `standin-keys` are passed on with the address of this program.
///
/// The log has a line "milliseconds-since-1970 event" for each of: `full`, `takes connections`, `reset`.

#include <poll.h>

#include <atomic>
#include <boost/program_options.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>

#include "review/tools/blocking_connection.h"
#include "standins/standin_process.h"

namespace {

using shedlever::Endpoint;
using shedlever::review::Connection;
using shedlever::review::connectTo;
using shedlever::review::listenAt;
using shedlever::review::readMessage;

/// How often the listening socket is opened or closed.
constexpr int kListenerIntervalMs = 1;

struct Options {
  Endpoint listen;
  /// Where `standin-keys` listens, and where it sends its heartbeats.
  Endpoint server;
  Endpoint heartbeats;
  /// The router's address for heartbeats.
  Endpoint reports_to;
  int most = 0;
};

class FullUpstream {
 public:
  FullUpstream(Options options, const std::string& log_file)
      : options_(std::move(options)), log_(log_file, std::ios::app) {}

  /// Opens and closes the listening socket and accepts connections; does not return.
  [[noreturn]] void run() {
    int listener = -1;
    while (true) {
      const bool full = isFull();
      if (full && listener >= 0) {
        close(listener);
        listener = -1;
        log("full");
      } else if (!full && listener < 0) {
        listener = listenAt(options_.listen);
        log("takes connections");
      }
      pollfd waiting{listener, POLLIN, 0};
      if (poll(&waiting, 1, kListenerIntervalMs) > 0) {
        const int accepted = accept(listener, nullptr, nullptr);
        if (accepted >= 0) {
          std::thread([this, accepted] { serve(accepted); }).detach();
        }
      }
    }
  }

  /// Passes heartbeats on with this program's address; does not return.
  [[noreturn]] void passHeartbeats() const {
    const int listener = listenAt(options_.heartbeats);
    while (true) {
      const int accepted = accept(listener, nullptr, nullptr);
      if (accepted >= 0) {
        std::thread([this, accepted] { passHeartbeatsOf(accepted); }).detach();
      }
    }
  }

 private:
  static std::string toString(const Endpoint& endpoint) {
    return endpoint.address + ":" + std::to_string(endpoint.port);
  }

  bool isFull() const { return options_.most > 0 && held_ >= options_.most; }

  void serve(int accepted) {
    Connection caller(accepted);
    const int connected = connectTo(options_.server);
    if (connected < 0) {
      return;
    }
    Connection server(connected);
    while (const std::optional<std::string> request = readMessage(caller)) {
      if (++held_ > options_.most && options_.most > 0) {
        --held_;
        log("reset");
        caller.resetAtEnd();
        return;
      }
      server.write(*request);
      // Not given up if the caller leaves.
      const std::optional<std::string> answer = readMessage(server);
      --held_;
      if (!answer || !caller.write(*answer)) {
        return;
      }
    }
  }

  void passHeartbeatsOf(int accepted) const {
    Connection server(accepted);
    while (std::optional<std::string> heartbeat = readMessage(server)) {
      // Both addresses have the same length, so that the length of the body holds.
      const std::string own = toString(options_.listen);
      const std::size_t at = heartbeat->find(toString(options_.server));
      if (at != std::string::npos) {
        heartbeat->replace(at, own.size(), own);
      }
      const int connected = connectTo(options_.reports_to);
      if (connected < 0) {
        return;
      }
      Connection router(connected);
      router.write(*heartbeat);
      const std::optional<std::string> answer = readMessage(router);
      if (!answer || !server.write(*answer)) {
        return;
      }
    }
  }

  void log(const std::string& line) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const std::lock_guard<std::mutex> lock(log_mutex_);
    log_ << std::chrono::duration_cast<std::chrono::milliseconds>(now).count() << " " << line << "\n" << std::flush;
  }

  Options options_;
  /// Requests that run or wait at the server.
  std::atomic<int> held_{0};
  std::mutex log_mutex_;
  std::ofstream log_;
};

}  // namespace

int main(int argc, char** argv) {
  namespace flags = boost::program_options;
  Options options;
  std::string listen;
  std::string server;
  std::string heartbeats;
  std::string reports_to;
  std::string log_file;
  flags::options_description description("review-full-upstream: the connections of an upstream that resets once full");
  description.add_options()("help", "this text")("listen", flags::value(&listen)->required(), "IP:PORT")(
      "server", flags::value(&server)->required(), "IP:PORT of the standin-keys that runs the requests")(
      "heartbeats", flags::value(&heartbeats)->required(), "IP:PORT to which that server sends its heartbeats")(
      "reports-to", flags::value(&reports_to)->required(), "IP:PORT to which they are passed on")(
      "most", flags::value(&options.most)->required(), "requests that run or wait until it is full; 0: no limit")(
      "log", flags::value(&log_file)->required(), "log file");
  flags::variables_map values;
  flags::store(flags::parse_command_line(argc, argv, description), values);
  flags::notify(values);
  const auto endpoints = {std::pair{&listen, &options.listen}, std::pair{&server, &options.server},
                          std::pair{&heartbeats, &options.heartbeats}, std::pair{&reports_to, &options.reports_to}};
  for (const auto& [text, endpoint] : endpoints) {
    const auto parsed = shedlever::standins::parseEndpoint(*text);
    if (!parsed) {
      std::cerr << description;
      return EXIT_FAILURE;
    }
    *endpoint = *parsed;
  }
  std::signal(SIGPIPE, SIG_IGN);
  FullUpstream upstream(options, log_file);
  std::thread([&upstream] { upstream.passHeartbeats(); }).detach();
  upstream.run();
}
