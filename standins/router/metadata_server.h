#pragma once

/// @file
/// Stand-in for the platform's store: objects by kind and name over HTTP, with revisions and watches, and faults.

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "shedlever/errors.h"
#include "standins/standin_http_server.h"

namespace shedlever::standins {

enum class StoreMode : std::uint8_t {
  Up,
  Unresponsive,  ///< takes calls and never answers them; their connections stay open, also when it is up again
  Unavailable,   ///< answers 503
  Reset,         ///< closes without an answer
};

struct MetadataFaults {
  StoreMode mode = StoreMode::Up;
  Duration delay{};
  /// Chance that a write is done and not answered.
  double lost = 0;
  /// Chance that a write is done one to four seconds later and not answered.
  double late = 0;
};

/// `POST /faults` sets the faults. `{"compact":true}` forgets the history; `{"keep_copy":true}` keeps a copy of all
/// that is held, and `{"restore_copy":true}` goes back to it: what was written since is gone, its revisions are given
/// out again, watches are cut, and the epoch, which each answer tells, rises by one.
class MetadataServer {
 public:
  /// @return the server, or a NetworkError.
  static leaf::result<std::unique_ptr<MetadataServer>> listen(EventLoop& loop, const Endpoint& endpoint,
                                                              std::uint64_t seed);
  const Endpoint& endpoint() const { return http_->endpoint(); }

 private:
  struct Object {
    std::uint64_t revision = 0;
    std::string spec;
  };
  /// The newest change of each object; a reader of changes needs no earlier ones.
  struct Event {
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    /// The object as it was, if it was removed.
    std::optional<Object> removed;
  };
  /// All that is held at one moment.
  struct Backup {
    std::uint64_t revision = 0;
    std::map<std::string, std::map<std::string, Object>> kinds;
    std::vector<Event> events;
  };
  struct PendingWatch {
    std::uint64_t number = 0;
    std::string kind;
    std::uint64_t after = 0;
    StandinResponder responder;
  };

  MetadataServer(EventLoop& loop, std::uint64_t seed) : loop_(loop), random_(seed) {}
  void handle(const StandinRequest& request, const StandinResponder& responder);
  void handleObjects(const StandinRequest& request, const StandinResponder& responder);
  void setFaults(const std::string& body);
  void compactHistory();
  void restoreCopy();
  void dropWatches();
  void reply(const StandinResponder& responder, int status, const std::string& body) const;
  void list(const std::string& kind, const StandinResponder& responder) const;
  void watch(const StandinRequest& request, const std::string& kind, const StandinResponder& responder);
  void write(const StandinRequest& request, const std::string& kind, const std::string& name,
             const StandinResponder& responder);
  /// @return status and body.
  std::pair<int, std::string> remove(const StandinRequest& request, const std::string& kind, const std::string& name);
  /// @return status and body.
  std::pair<int, std::string> apply(const StandinRequest& request, const std::string& kind, const std::string& name);
  void answerWatches();
  std::string objectText(const std::string& name, const Object& object) const;
  std::string eventsText(const std::string& kind, std::uint64_t after);
  bool happens(double chance);

  EventLoop& loop_;
  std::mt19937_64 random_;
  MetadataFaults faults_;
  /// Rises by one with each restored copy.
  std::uint64_t epoch_ = 1;
  std::uint64_t revision_ = 0;
  /// Changes up to this one are forgotten.
  std::uint64_t forgotten_ = 0;
  std::map<std::string, std::map<std::string, Object>> kinds_;
  std::vector<Event> events_;
  Backup copy_;
  std::list<PendingWatch> waiters_;
  std::uint64_t last_waiter_ = 0;
  /// Answers that are never given; kept so that their connections stay open for good.
  std::vector<StandinResponder> withheld_;
  std::unique_ptr<StandinHttpServer> http_;
};

}  // namespace shedlever::standins
