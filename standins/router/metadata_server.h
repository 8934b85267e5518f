#pragma once

/// @file
/// Stand-in for the platform's store: HTTP access to objects by kind and name, with revisions, watches and faults.

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
  Unresponsive,  ///< accepts requests and never responds to them; their connections stay open after recovery
  Unavailable,   ///< responds with 503
  Reset,         ///< closes the connection without a response
};

struct MetadataFaults {
  StoreMode mode = StoreMode::Up;
  Duration delay{};
  /// Probability that a write is executed without a response.
  double lost = 0;
  /// Probability that a write is executed one to four seconds later, without a response.
  double late = 0;
};

/// `POST /faults` sets the faults. `{"compact":true}` compacts the history. `{"keep_copy":true}` saves a backup of the
/// contents. `{"restore_copy":true}` restores it: later writes are lost, their revisions are assigned again, watches
/// are disconnected, and the epoch, which is a header of each response for objects, increases by one.
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
  /// The latest change of an object; earlier ones are not kept, because watchers do not need them.
  struct Event {
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    /// The last state of the object if it was removed, with the revision of the removal.
    std::optional<Object> removed;
  };
  /// The contents at one moment.
  struct Backup {
    std::uint64_t revision = 0;
    std::map<std::string, std::map<std::string, Object>> kinds;
    std::vector<Event> events;
  };
  struct PendingWatch {
    std::uint64_t id = 0;
    std::string kind;
    std::uint64_t after = 0;
    StandinResponder responder;
  };

  MetadataServer(EventLoop& loop, std::uint64_t seed) : loop_(loop), random_(seed) {}
  void handle(const StandinRequest& request, const StandinResponder& responder);
  void handleObjects(const StandinRequest& request, const StandinResponder& responder);
  void setFaults(const std::string& body);
  void compactHistory();
  void restoreBackup();
  void disconnectWatches();
  void reply(const StandinResponder& responder, int status, const std::string& body) const;
  void list(const std::string& kind, const StandinResponder& responder) const;
  void watch(const StandinRequest& request, const std::string& kind, const StandinResponder& responder);
  void write(const StandinRequest& request, const std::string& kind, const std::string& name,
             const StandinResponder& responder);
  /// @return status and body.
  std::pair<int, std::string> remove(const StandinRequest& request, const std::string& kind, const std::string& name);
  /// @return status and body.
  std::pair<int, std::string> apply(const StandinRequest& request, const std::string& kind, const std::string& name);
  void respondToWatches();
  std::string objectJson(const std::string& name, const Object& object) const;
  /// @return the events of the kind after the revision; empty if there are none.
  std::string eventsJson(const std::string& kind, std::uint64_t after);
  bool happens(double probability);

  EventLoop& loop_;
  std::mt19937_64 random_;
  MetadataFaults faults_;
  /// Increases by one with each restored backup.
  std::uint64_t epoch_ = 1;
  std::uint64_t revision_ = 0;
  /// The history up to this revision is compacted; watches from an earlier one receive 410.
  std::uint64_t compacted_revision_ = 0;
  std::map<std::string, std::map<std::string, Object>> kinds_;
  std::vector<Event> events_;
  Backup backup_;
  std::list<PendingWatch> pending_watches_;
  std::uint64_t last_watch_id_ = 0;
  /// Requests that never receive a response; keeping them leaves their connections open.
  std::vector<StandinResponder> withheld_;
  std::unique_ptr<StandinHttpServer> http_;
};

}  // namespace shedlever::standins
