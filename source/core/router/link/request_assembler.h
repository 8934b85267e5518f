#pragma once

/// @file
/// Assembles the requests that peers send in parts, and limits the bytes of unfinished ones.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "shedlever/router_frames.h"

namespace shedlever {

/// Largest encoded request that is sent in parts.
inline constexpr std::size_t kMaxRequestBytesInParts = 12U << 20U;

struct RequestAssemblerConfig {
  /// Maximum bytes of the unfinished requests of one stream.
  std::size_t max_stream_bytes = kMaxRequestBytesInParts;
  /// Maximum bytes of the unfinished requests of all streams.
  std::size_t max_total_bytes = 32U << 20U;
};

enum class PartVerdict : std::uint8_t {
  Incomplete,  ///< more parts are expected
  Complete,    ///< it was the last part
  Refused,     ///< there is no room for the request, which has not run; its other parts are ignored
  Ignored,     ///< the request was refused before
};

struct PartResult {
  PartVerdict verdict = PartVerdict::Incomplete;
  /// The encoded request if it is complete.
  std::string bytes = {};
};

/// Holds the parts of unfinished requests by stream and exchange.
class RequestAssembler {
 public:
  /// Identifies a stream of the receiving process.
  using StreamId = std::uint64_t;

  explicit RequestAssembler(const RequestAssemblerConfig& config = {}) : config_(config) {}

  /// Adds the next part of a request.
  PartResult add(StreamId stream, const ForwardPartFrame& part);

  /// The request was cancelled.
  void drop(StreamId stream, ExchangeId exchange);

  void onStreamEnd(StreamId stream);

  /// @return bytes of all unfinished requests.
  std::size_t heldBytes() const { return held_bytes_; }

 private:
  struct Request {
    std::string bytes;
    bool refused = false;
  };

  struct Stream {
    std::map<ExchangeId, Request> requests;
    std::size_t held_bytes = 0;
  };

  void release(Stream& stream, Request& request);

  RequestAssemblerConfig config_;
  std::map<StreamId, Stream> streams_;
  std::size_t held_bytes_ = 0;
};

}  // namespace shedlever
