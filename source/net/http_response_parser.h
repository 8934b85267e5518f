#pragma once

/// @file
/// An incremental parser for one HTTP/1.1 response.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "shedlever/http_messages.h"
#include "shedlever/time.h"
#include "source/net/event_handles.h"

namespace shedlever {

enum class HttpResponseParseStatus : std::uint8_t {
  Incomplete,  ///< valid so far, more bytes are needed
  Complete,    ///< the following bytes in the buffer do not belong to the response
  Invalid,     ///< malformed, over a limit, or without a certain end
};

/// Accepts responses with Content-Length, chunked responses, and responses that never have a body. A close-delimited
/// response is Invalid unless the caller allows it, because it can't be distinguished from a truncated one.
class HttpResponseParser {
 public:
  /// @param header_limit, body_limit in bytes.
  /// @param to_head whether the request's method was HEAD.
  /// @param allow_close_delimited whether a response without a length may end with its connection.
  HttpResponseParser(std::size_t header_limit, std::size_t body_limit, bool to_head,
                     bool allow_close_delimited = false);

  /// Removes the bytes from the buffer that belong to the response.
  HttpResponseParseStatus consume(evbuffer* input);

  /// @return whether any byte of a response was received.
  bool hasStarted() const { return started_; }

  /// @return whether the server keeps the connection open. Valid after Complete.
  bool keepsConnection() const { return keeps_connection_; }

  /// @return whether an orderly close of the connection now completes the response.
  bool completesOnClose() const { return state_ == State::UntilClose; }

  /// @return a safe part of the idle timeout that the server announced; Duration::max() when it announced none.
  Duration keepAliveTimeout() const { return keep_alive_; }

  /// @return bytes of the body received so far.
  std::size_t bodyBytes() const { return response_.body.size(); }

  /// Moves the response out. Valid after Complete. Framing headers are left out.
  HttpResponse takeResponse() { return std::move(response_); }

 private:
  enum class State : std::uint8_t {
    StatusLine,
    Headers,
    Body,
    ChunkSize,
    ChunkData,
    ChunkEnd,
    Trailers,
    UntilClose,
    Done
  };

  /// One line from the buffer, without its end.
  struct Line {
    std::optional<std::string> text;
    /// The headers exceed their limit.
    bool over_limit = false;
  };

  Line readLine(evbuffer* input);
  HttpResponseParseStatus step(evbuffer* input);
  HttpResponseParseStatus lineStep(std::string_view line);
  bool takeStatusLine(std::string_view line);
  bool takeHeader(std::string_view line);
  bool takeTrailer(std::string_view line);
  bool takeFramingHeader(std::string_view name, std::string_view value);
  bool takeChunkSize(std::string_view line);
  bool headersEnded();
  void takeBody(evbuffer* input);
  bool takeUntilClose(evbuffer* input);
  void takeKeepAlive(std::string_view text);

  std::size_t header_limit_;
  std::size_t body_limit_;
  bool to_head_;
  bool allow_close_delimited_;
  Duration keep_alive_ = Duration::max();
  State state_ = State::StatusLine;
  bool started_ = false;
  bool keeps_connection_ = true;
  bool chunked_ = false;
  std::optional<std::size_t> content_length_;
  /// Of the body or the current chunk.
  std::size_t missing_bytes_ = 0;
  std::size_t header_bytes_ = 0;
  HttpResponse response_;
};

}  // namespace shedlever
