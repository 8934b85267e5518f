#pragma once

/// @file
/// Stand-in for a server on the platform: slots, grants of keys, reports of itself, and faults. Writes each run and
/// each grant to a log that a checker reads.

#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "shedlever/errors.h"
#include "source/lab/sim/assigned_keys.h"
#include "source/net/http_client.h"
#include "source/net/system_sources.h"
#include "standins/standin_http_server.h"

namespace shedlever::standins {

struct KeyServerConfig {
  Endpoint listen;
  std::string service;
  bool divided_by_key = false;
  /// Takes its keys in the acknowledgements of its heartbeats, and not by orders.
  bool keys_by_heartbeat = false;
  std::uint32_t slots = 8;
  Duration request_duration = std::chrono::milliseconds(20);
  /// Where it reports itself.
  Endpoint heartbeat_endpoint;
  std::string log_file;
  std::uint64_t seed = 1;
  /// Its id; empty: one that no other life has.
  std::string id;
  /// Path of a request under which it ends, once it has worked on it; empty for none.
  std::string fatal_path;
  /// Such a request begins.
  std::function<void()> on_fatal_begin;
  /// It has come to its end: whoever owns the server is to destroy it, from the loop.
  std::function<void()> on_fatal_end;
};

/// `POST /faults` sets chances: `lost` (run, not answered), `broken` (answer cut), `late_orders` (orders carried out
/// seconds later without an answer), and `slow`, a factor of the work's time. A request with `bytes=N` in its query
/// gets an answer of that size.
class KeyServer {
 public:
  /// @return the server, or a NetworkError.
  static leaf::result<std::unique_ptr<KeyServer>> start(EventLoop& loop, const KeyServerConfig& config);
  ~KeyServer() { *alive_ = false; }
  KeyServer(const KeyServer&) = delete;
  KeyServer& operator=(const KeyServer&) = delete;

  /// Where it listens, with the port in use.
  const Endpoint& endpoint() const { return http_->endpoint(); }
  const std::string& instance() const { return instance_; }

  /// Begins to report itself to its router; a server that is started with a place to report to has begun.
  void startHeartbeats(const Endpoint& reports);

  /// Reports that it leaves; it serves on for a while.
  /// @param acknowledged runs once the report was answered.
  void startDraining(std::function<void()> acknowledged);

  /// @return how many requests it has begun.
  std::size_t startedRequests() const { return begun_; }
  /// @return how many run now.
  std::uint32_t runningRequests() const { return running_; }

 private:
  struct KeyGrant {
    std::uint64_t token = 0;
    TimePoint until{};
  };
  struct PendingRequest {
    StandinRequest request;
    StandinResponder responder;
    std::string id;
    int key = -1;
  };
  struct Faults {
    double lost = 0;
    double broken = 0;
    double late_orders = 0;
    double slow = 1;
  };

  KeyServer(EventLoop& loop, const KeyServerConfig& config);
  void handle(const StandinRequest& request, const StandinResponder& responder);
  void handleCommand(const StandinRequest& request, const StandinResponder& responder);
  bool grant(const std::string& body, bool late);
  void release(const std::string& body, const StandinResponder& responder);
  void handleClientRequest(const StandinRequest& request, const StandinResponder& responder);
  void startRequest(const std::shared_ptr<PendingRequest>& work);
  void finishRequest(const std::shared_ptr<PendingRequest>& work);
  bool isFatal(const PendingRequest& work) const;
  void answer(const PendingRequest& work, int status, bool not_run);
  void answerReleases();
  /// Sends a heartbeat, and plans the next one.
  void sendHeartbeat();
  void scheduleHeartbeat(Duration pause);
  void onAcknowledged(const HttpExchange& exchange, const KeyReport& reported, TimePoint sent);
  /// @return whether requests for the key may begin now, and under which token; 0: they may not.
  std::uint64_t tokenFor(int key) const;
  bool isRunningOn(int first, int last) const;
  void log(const std::string& line);
  bool happens(double chance);

  EventLoop& loop_;
  KeyServerConfig config_;
  BootClockImpl clock_;
  std::mt19937_64 random_;
  std::string instance_;
  /// Milliseconds since 1970.
  std::uint64_t started_ms_;
  std::ofstream log_;
  Faults faults_;
  std::vector<KeyGrant> holds_;
  sim::AssignedKeys assigned_;
  std::uint32_t running_ = 0;
  std::deque<std::shared_ptr<PendingRequest>> waiting_;
  /// How many run on each key.
  std::map<int, int> running_keys_;
  struct Release {
    int first = 0;
    int last = 0;
    StandinResponder responder;
  };
  std::vector<Release> releases_;
  std::vector<StandinResponder> withheld_;
  bool draining_ = false;
  std::function<void()> on_acknowledged_;
  std::size_t begun_ = 0;
  std::uint64_t sequence_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<HttpClient> reporter_;
  std::unique_ptr<StandinHttpServer> http_;
};

}  // namespace shedlever::standins
