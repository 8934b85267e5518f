#pragma once

/// @file
/// A small deployment on loopback: processes of the router with the command of the deploy file, and stand-ins of the
/// servers beside them.

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

#include "http_standin.h"
#include "nlohmann/json.hpp"

namespace review {

using Clock = std::chrono::steady_clock;

/// Exit codes of a script.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// @return false if the script is to run without its disruption.
bool withTrouble();

/// Appends what was sent, answered and run to a file, one line each, with the time since its start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::app), start_(Clock::now()) {}
  void write(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_;
};

/// The ports of one machine.
struct MachinePorts {
  int clients = freePort();
  int peers = freePort();
  int readiness = freePort();
  int reports = freePort();
  int server = freePort();
};

/// One process of the router. It is killed with the object.
class RouterProcess {
 public:
  /// Memory of a machine of a small deployment, in bytes.
  static constexpr std::size_t kMemoryLimit = std::size_t{260} << 20U;

  /// @param directory for the settings and the log.
  RouterProcess(std::string directory, std::string node, std::string service, int store_port);
  ~RouterProcess();
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  const MachinePorts& ports() const { return ports_; }
  const std::string& node() const { return node_; }
  const std::string& service() const { return service_; }
  void start();
  /// Sends the signal and waits for the end of the process.
  void end(int signal);
  /// @return the memory that the process takes now, in bytes; 0 if it does not run.
  std::size_t memoryBytes() const;
  /// @return whether the readiness address answered 200 in time.
  bool waitUntilReady(Milliseconds timeout) const;

 private:
  std::string directory_;
  std::string node_;
  std::string service_;
  MachinePorts ports_;
  pid_t process_ = -1;
};

/// A server of a service that is not divided by key. Runs every request that names it, for `work`.
class ServerStandin {
 public:
  struct Run {
    std::string id;
    Clock::time_point at;
  };

  ServerStandin(Record& record, const RouterProcess& router, std::string instance, Milliseconds work);
  ~ServerStandin();
  ServerStandin(const ServerStandin&) = delete;
  ServerStandin& operator=(const ServerStandin&) = delete;

  const std::string& instance() const { return instance_; }
  /// Sends one heartbeat of the state `ready`. @return whether it was acknowledged within a second.
  bool sendHeartbeat(int sequence);
  /// Sends the notice of a server that leaves without having reported `draining`. @return whether it was acknowledged.
  bool deregister();
  /// From now on it says in its health check and in its answers that it leaves, and sends no further heartbeat.
  void startLeaving();
  /// Says nothing more, on open connections and to new ones, and sends no heartbeat: a crash that is silent.
  void goDark();
  /// Takes no new connection, and works `factor` times as long.
  void startStall(int factor);
  void endStall();
  int lastSequence() const { return sequence_; }
  std::vector<Run> runs();

 private:
  std::optional<std::string> handle(const HttpMessage& request);
  void sendHeartbeats();

  Record& record_;
  std::string service_;
  std::string instance_;
  int reports_port_;
  int port_;
  Milliseconds work_;
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::atomic<int> sequence_ = 0;
  std::atomic<bool> leaving_ = false;
  std::atomic<bool> dark_ = false;
  std::atomic<int> slowness_ = 1;
  std::atomic<bool> stopping_ = false;
  std::unique_ptr<HttpStandin> server_;
  std::thread heartbeat_thread_;
};

/// @return `config/main` with routes `/NAME/` on the host `h.example`, each to one service.
struct RouteTo {
  std::string name;
  std::string service;
};
nlohmann::json makeConfig(int version, const std::vector<RouteTo>& routes, const std::vector<std::string>& services);

/// Sends one request of an idempotent route to a machine. @return the status; 0 without an answer.
int sendRequest(Record& record, const RouterProcess& router, const std::string& route, const std::string& id);

}  // namespace review
