#pragma once

/// @file
/// Stand-in for the platform's store, as PROTOCOL.md and NEWS.md describe it: objects by kind and name, revisions,
/// conditional writes, lists and watches.

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http_standin.h"
#include "nlohmann/json.hpp"

namespace review {

class StoreStandin {
 public:
  explicit StoreStandin(int port);
  ~StoreStandin();
  StoreStandin(const StoreStandin&) = delete;
  StoreStandin& operator=(const StoreStandin&) = delete;

  /// What the operator writes to `config/main`; returns once the store has acknowledged it.
  void writeConfig(const nlohmann::json& spec);
  void silenceOpenConnections() { server_->silenceOpenConnections(); }

 private:
  struct Object {
    std::uint64_t revision = 0;
    nlohmann::json spec;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    nlohmann::json object;
  };
  struct Answer {
    int status = 0;
    nlohmann::json body;
  };

  std::optional<std::string> handle(const HttpMessage& request);
  Answer apply(const std::string& method, const std::string& kind, const std::string& name,
               const nlohmann::json& document);
  Answer put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
  Answer list(const std::string& kind);
  Answer watch(const std::string& kind, std::uint64_t after, Milliseconds wait);
  nlohmann::json eventsAfter(const std::string& kind, std::uint64_t after) const;
  static nlohmann::json describe(const std::string& name, const Object& object);

  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, Object>> kinds_;
  std::vector<Event> events_;
  std::unique_ptr<HttpStandin> server_;
};

}  // namespace review
