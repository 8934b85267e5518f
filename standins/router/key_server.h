#pragma once

/// @file
/// Stand-in for a server on the platform: slots, grants of keys, reports of itself, and faults. Writes each run and
/// each grant to a log that a checker reads.

#include <cstdint>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "shedlever/errors.h"
#include "source/net/http_client.h"
#include "source/net/system_sources.h"
#include "standins/standin_http_server.h"

namespace shedlever::standins {

struct KeyServerConfig {
  Endpoint listen;
  std::string service;
  bool divided_by_key = false;
  std::uint32_t slots = 8;
  Duration work = std::chrono::milliseconds(20);
  /// Where it reports itself.
  Endpoint reports_to;
  std::string log_file;
  std::uint64_t seed = 1;
};

/// `POST /faults` sets chances: `lost` (run, not answered), `broken` (answer cut), `late_orders` (orders carried out
/// seconds later without an answer), and `slow`, a factor of the work's time.
class KeyServer {
 public:
  /// @return the server, or a NetworkError.
  static leaf::result<std::unique_ptr<KeyServer>> start(EventLoop& loop, const KeyServerConfig& config);

  /// Reports that it leaves; it serves on for a while.
  void leave() { draining_ = true; }

 private:
  struct Hold {
    std::uint64_t token = 0;
    TimePoint until{};
  };
  struct Work {
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
  void handleOrder(const StandinRequest& request, const StandinResponder& responder);
  bool grant(const std::string& body, bool late);
  void release(const std::string& body, const StandinResponder& responder);
  void handleWork(const StandinRequest& request, const StandinResponder& responder);
  void startWork(const std::shared_ptr<Work>& work);
  void endWork(const std::shared_ptr<Work>& work);
  void answer(const Work& work, int status, bool not_run);
  void answerReleases();
  void report();
  void log(const std::string& line);
  bool happens(double chance);

  EventLoop& loop_;
  KeyServerConfig config_;
  BootClockImpl clock_;
  std::mt19937_64 random_;
  std::string instance_;
  std::ofstream log_;
  Faults faults_;
  std::vector<Hold> holds_;
  std::uint32_t running_ = 0;
  std::deque<std::shared_ptr<Work>> waiting_;
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
  std::uint64_t sequence_ = 0;
  std::unique_ptr<HttpClient> reporter_;
  std::unique_ptr<StandinHttpServer> http_;
};

}  // namespace shedlever::standins
