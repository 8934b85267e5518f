#pragma once

/// @file
/// Reads one HTTP/1.1 answer from a buffer, byte by byte as it arrives, and says whether it is whole.

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
  Incomplete,  ///< good so far, not whole yet
  Complete,    ///< whole; what follows in the buffer does not belong to it
  Invalid,     ///< can't be an answer whose end is certain
};

/// Takes answers with Content-Length, chunked ones, and those that have no body by rule. One that ends with its
/// connection is Invalid unless the caller allows it: it can't be told from one that was cut in order.
class HttpResponseParser {
 public:
  /// @param to_head whether the request's method was HEAD.
  /// @param allow_close_delimited whether an answer without a length may end with its connection.
  HttpResponseParser(std::size_t header_limit, std::size_t body_limit, bool to_head,
                     bool allow_close_delimited = false);

  /// Takes as much from the buffer as belongs to the answer.
  HttpResponseParseStatus consume(evbuffer* input);

  /// @return whether any byte of an answer has been seen.
  bool hasStarted() const { return started_; }

  /// @return whether the server will keep the connection; after Complete.
  bool keepsConnection() const { return keeps_connection_; }

  /// @return whether the answer is whole if the connection ends now, in order.
  bool completesOnClose() const { return state_ == State::UntilClose; }

  /// @return how long the server keeps a connection without work, less a part for the way; max when it said nothing.
  Duration keepAliveTimeout() const { return keep_alive_; }

  /// The answer, after Complete; headers that frame it are left out.
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

  /// One line read from the buffer; `bad` when it is over the limit.
  struct Line {
    std::optional<std::string> text;
    bool bad = false;
  };

  Line readLine(evbuffer* input);
  HttpResponseParseStatus step(evbuffer* input);
  HttpResponseParseStatus lineStep(std::string_view line);
  bool takeStatusLine(std::string_view line);
  bool takeHeader(std::string_view line);
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
  /// Bytes still missing from the body or from the present chunk.
  std::size_t missing_ = 0;
  std::size_t header_bytes_ = 0;
  HttpResponse response_;
};

}  // namespace shedlever
