#pragma once

/// @file
/// What one life of a server was at work on: when it ends without a word, one of these requests may be the cause.

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "shedlever/request_fingerprint.h"
#include "shedlever/time.h"

namespace shedlever {

/// A server that ends breaks all its requests at once and answers none any more. So a request is still unanswered at
/// the end if it runs, or was broken off and the server has answered nothing since.
class UnansweredRequests {
 public:
  /// Names one send of a request to the server.
  using SendId = std::uint64_t;

  /// The request was sent to the server.
  void onSent(SendId id, const RequestFingerprint& request);
  /// The server has answered it whole: it has run it, well or not, or says that it has not.
  /// @param ran_well whether it has run it to a good end.
  void onAnswered(SendId id, bool ran_well, TimePoint now);
  /// It did not reach this life of the server.
  void onNotReached(SendId id) { running_.erase(id); }
  /// Its connection broke, or what came was no answer.
  void onConnectionLost(SendId id, TimePoint now);
  /// It was taken back, or its time is over: the server may work on it for a moment longer.
  void onAbandoned(SendId id, TimePoint now);

  /// This life is over; the next one begins with nothing.
  /// @return each request once that it may have been at work on, without those that it had run well before: a request
  ///   that ends servers is never answered, while one that all ask for in the same words nearly always was.
  std::vector<RequestFingerprint> takeOnCrash();

  /// This life's end is no secret: nothing follows from it.
  void clear();

 private:
  struct LostRequest {
    RequestFingerprint request;
    /// The server may have been at work on it until then.
    TimePoint may_run_until{};
  };

  void moveToLost(SendId id, TimePoint until);
  void recordServed(const RequestFingerprint& request);

  std::unordered_map<SendId, RequestFingerprint> running_;
  std::deque<LostRequest> lost_;
  /// The last ones that were answered, oldest first.
  std::deque<RequestFingerprint> served_order_;
  std::unordered_set<RequestFingerprint> served_;
};

}  // namespace shedlever
