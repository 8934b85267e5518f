#pragma once

/// @file
/// Stand-in for a server on the platform, with request slots, key grants, heartbeats and faults. Logs each request,
/// grant and release for a checker.

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
#include "source/net/system_clock_and_random.h"
#include "standins/standin_http_server.h"

namespace shedlever::standins {

struct KeyServerConfig {
  Endpoint listen;
  std::string service;
  bool divided_by_key = false;
  /// Whether the server receives its keys in the acknowledgements of its heartbeats instead of by commands.
  bool keys_by_heartbeat = false;
  std::uint32_t slots = 8;
  Duration request_duration = std::chrono::milliseconds(20);
  /// Receives the heartbeats; with port 0, none are sent until `startHeartbeats`.
  Endpoint heartbeat_endpoint;
  /// Time from the start until the first heartbeat.
  Duration first_report_delay{};
  std::string log_file;
  std::uint64_t seed = 1;
  /// Server id; if empty, an id unique to the instance is generated.
  std::string id;
  /// Path of requests that crash the server once executed; empty for none.
  std::string fatal_path;
  /// Runs when a fatal request begins.
  std::function<void()> on_fatal_begin;
  /// Runs when a fatal request has been executed. The owner must end or destroy the server, but not within this call.
  std::function<void()> on_fatal_end;
  /// Runs when the server has ended its work after `end_after_ms`. The owner must end or destroy the server, but not
  /// within this call.
  std::function<void()> on_left;
};

/// `POST /faults` sets probabilities: `lost` (executed, but the connection is closed without a response), `broken`
/// (response truncated, or with a header line that breaks HTTP's syntax, in turn), `late_orders` (commands executed
/// seconds later; a late grant is not answered), and `slow`, a factor of the request duration. `POST /condition` sets
/// what the server says in its responses: `limit`, the request limit as text, and `leaving`: that it is leaving, which
/// it never takes back. It also sets how the server leaves:
///   - `drain`: true makes it report the state `draining`, as `startDraining` does;
///   - `stop_listening`: milliseconds until it closes its listening socket, so that its successor may listen at the
///   same
///     address, and its idle connections. It keeps its keys and goes on with what it has begun;
///   - `heartbeats`: false makes it send no more heartbeats from the time when it stops listening;
///   - `end_after_ms`: milliseconds until it ends: it stops listening, finishes what it has begun, and ends. Without
///     `stop_listening` it serves until then, long after its drain was acknowledged.
/// A request with `bytes=N` in its query gets a response body of at least that size.
///
/// The log has a line "microseconds instance event ..." for each of these events: `up ID PID`; `begin ID KEY TOKEN` and
/// `end ID KEY`; `take FIRST LAST TOKEN UNTIL` for each grant, renewal or assigned range, with the time in microseconds
/// until which the keys are held now; `late-take` in the same form for a grant that was executed late, which later
/// lines do not count; `release FIRST LAST TOKEN` when no more requests on the keys begin, and `released` when those
/// that ran have ended; `drain`, `stop-listening`, `leaving`, `limit`, and `down` at the end.
class KeyServer {
 public:
  /// @return the server, or a NetworkError.
  static leaf::result<std::unique_ptr<KeyServer>> start(EventLoop& loop, const KeyServerConfig& config);
  ~KeyServer();
  KeyServer(const KeyServer&) = delete;
  KeyServer& operator=(const KeyServer&) = delete;

  /// The listening endpoint with the actual port.
  const Endpoint& endpoint() const { return http_->endpoint(); }
  const std::string& instance() const { return instance_; }

  /// Starts sending heartbeats to the router. `start` does this if the configuration has a heartbeat endpoint.
  void startHeartbeats(const Endpoint& endpoint);

  /// Reports the state `draining` from the next heartbeat on; the server continues to serve.
  /// @param acknowledged runs once such a heartbeat has received a response.
  void startDraining(std::function<void()> acknowledged);
  /// Closes the listening socket and the idle connections.
  void stopListening();

  /// Names a limit of requests per second in all responses from now on. @param limit sent as it is; empty for none.
  void setNamedLimit(const std::string& limit);
  /// Says in all responses from now on that the server is leaving; its heartbeats do not change.
  void setLeaving();
  /// Sets whether health checks get 200 or 503; nothing else changes.
  void setHealthy(bool healthy) { healthy_ = healthy; }

  /// @return the bytes to send in the place of a response to a request.
  using RawResponse = std::function<std::string(const HttpResponse& response)>;
  /// Makes the server send raw bytes, and then close the connection, once it has executed a request; an empty function
  /// restores its own responses.
  void setRawResponse(RawResponse raw_response) { raw_response_ = std::move(raw_response); }

  /// @return the number of requests begun since the start.
  std::size_t startedRequests() const { return started_requests_; }
  /// @return the number of requests being executed.
  std::uint32_t runningRequests() const { return running_requests_; }

 private:
  struct KeyGrant {
    std::uint64_t token = 0;
    TimePoint expires_at{};
    /// As `expires_at`, without grants that were executed late.
    TimePoint expires_without_late{};
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
    double late_commands = 0;
    double slow = 1;
  };

  KeyServer(EventLoop& loop, const KeyServerConfig& config);
  void handle(const StandinRequest& request, const StandinResponder& responder);
  void setCondition(const std::string& body);
  /// Ends the server once it has executed nothing for an interval, in which its last responses are sent.
  void leaveWhenIdle(bool was_idle);
  void handleCommand(const StandinRequest& request, const StandinResponder& responder);
  /// @return false if a higher token was seen for one of the keys.
  bool grant(const std::string& body, bool late);
  /// Logs the grant once for each part of the range that is held until another time.
  void logGrant(int first, int last, bool late);
  void release(const StandinRequest& request, const StandinResponder& responder);
  /// @return the headers with the ids of this server and of the request or command.
  std::vector<HttpHeader> identityOf(const StandinRequest& request) const;
  void handleClientRequest(const StandinRequest& request, const StandinResponder& responder);
  void startRequest(const std::shared_ptr<PendingRequest>& pending);
  void finishRequest(const std::shared_ptr<PendingRequest>& pending);
  bool isFatal(const PendingRequest& pending) const;
  void respond(const PendingRequest& pending, int status, bool not_executed);
  /// Truncates every second response; the others have a header line that breaks HTTP's syntax.
  void respondBroken(const PendingRequest& pending);
  /// Adds the headers in which the server states its condition, and logs what they state for the first time.
  void addCondition(std::vector<HttpHeader>& headers);
  void respondToReleases();
  /// Sends a heartbeat and schedules the next one.
  void sendHeartbeat();
  void scheduleHeartbeat(Duration delay);
  void onAcknowledged(const HttpExchangeResult& exchange, const KeyReport& reported, TimePoint sent);
  /// Logs what an assignment in the acknowledgement of a heartbeat changed.
  void logAssignment(const KeyAssignment& assignment, TimePoint sent);
  /// Logs the end of releases by heartbeat whose requests have ended.
  void logEndedReleases();
  void runAfter(Duration delay, std::function<void()> step);
  /// @return the token under which requests for the key may begin now; 0 if they may not.
  std::uint64_t tokenFor(int key) const;
  /// @return whether a request for a key in the range is being executed.
  bool isRunningOn(int first, int last) const;
  void logRange(const std::string& event, int first, int last, std::uint64_t token);
  void log(const std::string& line);
  bool happens(double probability);

  EventLoop& loop_;
  KeyServerConfig config_;
  BootTimeClock clock_;
  std::mt19937_64 random_;
  std::string instance_;
  /// Wall-clock time of the start, in milliseconds since 1970.
  std::uint64_t started_ms_;
  std::ofstream log_;
  Faults faults_;
  std::vector<KeyGrant> grants_;
  sim::AssignedKeys assigned_;
  std::uint32_t running_requests_ = 0;
  std::deque<std::shared_ptr<PendingRequest>> queue_;
  /// Number of requests being executed for each key.
  std::map<int, int> running_keys_;
  struct Release {
    int first = 0;
    int last = 0;
    std::uint64_t token = 0;
    std::vector<HttpHeader> identity;
    StandinResponder responder;
  };
  /// Releases that wait for running requests on their keys.
  std::vector<Release> releases_;
  /// Ranges of the latest assignment, and those that it took back whose requests may still run.
  std::vector<AssignedRange> logged_ranges_;
  std::vector<AssignedRange> logged_releases_;
  /// Keeps the connections of unanswered commands open.
  std::vector<StandinResponder> withheld_;
  /// Empty while no limit is named.
  std::string named_limit_;
  bool leaving_ = false;
  bool healthy_ = true;
  /// What the log states.
  std::string logged_limit_;
  bool leaving_logged_ = false;
  RawResponse raw_response_;
  bool truncates_next_ = true;
  bool draining_ = false;
  bool listening_ = true;
  bool heartbeats_after_listening_ = true;
  bool ending_ = false;
  std::function<void()> on_acknowledged_;
  std::size_t started_requests_ = 0;
  std::uint64_t sequence_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<HttpClient> heartbeat_client_;
  std::unique_ptr<StandinHttpServer> http_;
};

}  // namespace shedlever::standins
