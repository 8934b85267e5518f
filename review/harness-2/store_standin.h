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

/// What becomes of a write.
struct WriteFate {
  bool answered = true;
  /// Time after which a write without an answer is carried out, if its condition still holds then.
  Milliseconds delay{};
};

class StoreStandin {
 public:
  /// @return the fate of a write; called for every writing call.
  using ChooseFate =
      std::function<WriteFate(const std::string& method, const std::string& kind, const nlohmann::json& document)>;

  explicit StoreStandin(int port);
  ~StoreStandin();
  StoreStandin(const StoreStandin&) = delete;
  StoreStandin& operator=(const StoreStandin&) = delete;

  /// What the operator writes to `config/main`; returns once the store has acknowledged it.
  void writeConfig(const nlohmann::json& spec);
  void setChooseFate(ChooseFate choose_fate);
  void silenceOpenConnections() { server_->silenceOpenConnections(); }
  /// @return the object's spec; null if there is none.
  nlohmann::json specOf(const std::string& kind, const std::string& name);
  std::size_t writingCalls();

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
  ChooseFate choose_fate_;
  std::size_t writing_calls_ = 0;
  std::vector<std::thread> late_writes_;
  std::unique_ptr<HttpStandin> server_;
};

}  // namespace review
