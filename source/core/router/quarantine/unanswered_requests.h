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
  using Number = std::uint64_t;

  /// The request was sent to the server.
  void begun(Number number, const RequestFingerprint& request);
  /// The server has answered it whole: it has run it, well or not, or says that it has not.
  /// @param ran_well whether it has run it to a good end.
  void answered(Number number, bool ran_well, TimePoint now);
  /// It did not reach this life of the server.
  void notReached(Number number) { running_.erase(number); }
  /// Its connection broke, or what came was no answer.
  void broken(Number number, TimePoint now);
  /// It was taken back, or its time is over: the server may work on it for a moment longer.
  void abandoned(Number number, TimePoint now);

  /// This life is over; the next one begins with nothing.
  /// @return each request once that it may have been at work on, without those that it had run well before: a request
  ///   that ends servers is never answered, while one that all ask for in the same words nearly always was.
  std::vector<RequestFingerprint> takeAtEnd();

  /// This life's end is no secret: nothing follows from it.
  void clear();

 private:
  struct Lost {
    RequestFingerprint request;
    /// The server may have been at work on it until then.
    TimePoint until{};
  };

  void lose(Number number, TimePoint until);
  void noteServed(const RequestFingerprint& request);

  std::unordered_map<Number, RequestFingerprint> running_;
  std::deque<Lost> lost_;
  /// The last ones that were answered, oldest first.
  std::deque<RequestFingerprint> served_order_;
  std::unordered_set<RequestFingerprint> served_;
};

}  // namespace shedlever
