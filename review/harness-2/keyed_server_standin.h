#pragma once

/// @file
/// Stand-in of a server of a service that is divided by key and takes its keys by commands (`/grant`, `/release`).

#include <atomic>
#include <cstdint>
#include <mutex>
#include <vector>

#include "deployment.h"

namespace review {

class KeyedServerStandin {
 public:
  static constexpr int kKeys = 65536;

  KeyedServerStandin(Record& record, const RouterProcess& router, std::string instance);
  ~KeyedServerStandin();
  KeyedServerStandin(const KeyedServerStandin&) = delete;
  KeyedServerStandin& operator=(const KeyedServerStandin&) = delete;

  /// Reports the state `draining` from now on, at once and then as often as before.
  /// @return when the first such report was acknowledged; nothing if it was not.
  std::optional<Clock::time_point> startDraining();
  /// @return when each request began.
  std::vector<Clock::time_point> runs();

 private:
  struct Held {
    /// Highest fencing token seen, also by a release.
    std::uint64_t seen = 0;
    Clock::time_point until;
  };

  std::optional<std::string> handle(const HttpMessage& request);
  std::string grant(const HttpMessage& request);
  std::string release(const HttpMessage& request);
  std::string run(const HttpMessage& request);
  /// @return whether the heartbeat was acknowledged.
  bool sendHeartbeat();
  void sendHeartbeats();

  Record& record_;
  std::string service_;
  std::string instance_;
  int reports_port_;
  int port_;
  std::mutex mutex_;
  std::vector<Held> keys_;
  std::vector<Clock::time_point> runs_;
  int sequence_ = 0;
  Clock::time_point next_heartbeat_;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> stopping_ = false;
  std::mutex heartbeat_mutex_;
  std::unique_ptr<HttpStandin> server_;
  std::thread heartbeat_thread_;
};

}  // namespace review
