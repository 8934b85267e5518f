#pragma once

/// @file
/// Tracks the unanswered requests of one server instance. If the instance crashes, one of them may be the cause.

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "shedlever/request_fingerprint.h"
#include "shedlever/time.h"

namespace shedlever {

/// A crash breaks all requests of a server at once, and the server answers none of them later. A request therefore
/// counts as unanswered if it is running, or if it was lost and the server has not answered any request since.
class UnansweredRequests {
 public:
  /// Identifies one send of a request to the server.
  using SendId = std::uint64_t;

  /// Call when the request is sent to the server.
  void onSent(SendId id, const RequestFingerprint& request);
  /// Call when a complete response has arrived, also one that reports a failure or that the request was not run.
  /// @param ran_well whether the server has run the request successfully.
  void onAnswered(SendId id, bool ran_well, TimePoint now);
  /// Call when the request did not reach this server instance.
  void onNotReached(SendId id) { running_.erase(id); }
  /// Call when the connection broke or the response was invalid.
  void onConnectionLost(SendId id, TimePoint now);
  /// Call when the request was cancelled or timed out; the server may continue to run it for a short time.
  void onAbandoned(SendId id, TimePoint now);

  /// Call when the instance has crashed; clears all state for the next instance.
  /// @return each unanswered request once, without those that the instance had run successfully before: a request that
  ///   crashes servers is never answered, whereas a frequent harmless request nearly always was.
  std::vector<RequestFingerprint> takeOnCrash();

  /// Call when the instance ended in an expected way; discards all state.
  void clear();

 private:
  struct LostRequest {
    RequestFingerprint request;
    /// The server may have run the request until this time.
    TimePoint may_run_until{};
  };

  void moveToLost(SendId id, TimePoint until);
  void recordServed(const RequestFingerprint& request);

  std::unordered_map<SendId, RequestFingerprint> running_;
  std::deque<LostRequest> lost_;
  /// Requests that were served most recently, oldest first.
  std::deque<RequestFingerprint> served_order_;
  std::unordered_set<RequestFingerprint> served_;
};

}  // namespace shedlever
