#pragma once

/// @file
/// Requests that were read from a stream and have not begun yet.

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "shedlever/router_frames.h"
#include "shedlever/time.h"

namespace shedlever {

/// A request that was read from a stream.
struct ArrivedRequest {
  ForwardFrame frame;
  TimePoint read_at{};
  /// By how much its frame was late.
  Duration lateness{};
};

/// Holds requests back until all bytes have been read that had arrived on the stream when the request was read, so that
/// a cancellation among those bytes comes first. Bytes that arrive later don't prolong the wait.
class ArrivedRequests {
 public:
  void add(ArrivedRequest request);

  /// @return whether the request was waiting here; then it never begins.
  bool cancel(ExchangeId exchange);

  /// Takes the requests that may begin, in the order of their arrival.
  /// @param read_bytes bytes of the stream that were read; all messages in them have been handled.
  /// @param arrived_bytes bytes of the stream that have arrived, including those that were not read yet.
  std::vector<ArrivedRequest> takeDue(std::uint64_t read_bytes, std::uint64_t arrived_bytes);

  bool empty() const { return requests_.empty(); }

 private:
  struct Waiting {
    ArrivedRequest request;
    /// Begins when this many bytes of the stream were read; set after the read that completed the request.
    std::optional<std::uint64_t> begins_at_byte;
  };

  /// In the order of arrival, so that `begins_at_byte` never decreases.
  std::deque<Waiting> requests_;
};

}  // namespace shedlever
