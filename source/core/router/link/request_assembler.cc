#include "source/core/router/link/request_assembler.h"

#include <utility>

namespace shedlever {

PartResult RequestAssembler::add(StreamId stream_id, const ForwardPartFrame& part) {
  Stream& stream = streams_[stream_id];
  Request& request = stream.requests[part.exchange];
  if (request.refused) {
    if (part.last) {
      stream.requests.erase(part.exchange);
    }
    return {PartVerdict::Ignored};
  }
  const std::size_t size = part.bytes.size();
  if (stream.held_bytes + size > config_.max_stream_bytes || held_bytes_ + size > config_.max_total_bytes) {
    release(stream, request);
    request.refused = true;
    if (part.last) {
      stream.requests.erase(part.exchange);
    }
    return {PartVerdict::Refused};
  }
  request.bytes += part.bytes;
  stream.held_bytes += size;
  held_bytes_ += size;
  if (!part.last) {
    return {PartVerdict::Incomplete};
  }
  PartResult complete{PartVerdict::Complete, request.bytes};
  drop(stream_id, part.exchange);
  return complete;
}

void RequestAssembler::release(Stream& stream, Request& request) {
  stream.held_bytes -= request.bytes.size();
  held_bytes_ -= request.bytes.size();
  request.bytes = {};
}

void RequestAssembler::drop(StreamId stream_id, ExchangeId exchange) {
  const auto stream = streams_.find(stream_id);
  if (stream == streams_.end()) {
    return;
  }
  const auto request = stream->second.requests.find(exchange);
  if (request != stream->second.requests.end()) {
    release(stream->second, request->second);
    stream->second.requests.erase(request);
  }
}

void RequestAssembler::onStreamEnd(StreamId stream_id) {
  const auto ended = streams_.extract(stream_id);
  if (!ended.empty()) {
    held_bytes_ -= ended.mapped().held_bytes;
  }
}

}  // namespace shedlever
