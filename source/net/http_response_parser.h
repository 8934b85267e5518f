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

enum class HttpParseProgress : std::uint8_t {
  More,  ///< good so far, not whole yet
  Done,  ///< whole; what follows in the buffer does not belong to it
  Bad,   ///< can't be an answer whose end is certain
};

/// Takes answers with Content-Length, chunked ones, and those that have no body by rule. One that ends with its
/// connection is Bad unless the caller allows it: it can't be told from one that was cut in order.
class HttpResponseParser {
 public:
  /// @param to_head whether the request's method was HEAD.
  /// @param close_framed whether an answer without a length may end with its connection.
  HttpResponseParser(std::size_t header_limit, std::size_t body_limit, bool to_head, bool close_framed = false);

  /// Takes as much from the buffer as belongs to the answer.
  HttpParseProgress consume(evbuffer* input);

  /// @return whether any byte of an answer has been seen.
  bool started() const { return started_; }

  /// @return whether the server will keep the connection; after Done.
  bool keepsConnection() const { return keeps_connection_; }

  /// @return whether the answer is whole if the connection ends now, in order.
  bool endsWithConnection() const { return state_ == State::UntilClose; }

  /// @return how long the server keeps a connection without work, less a part for the way; max when it said nothing.
  Duration keepAlive() const { return keep_alive_; }

  /// The answer, after Done; headers that frame it are left out.
  HttpResponse take() { return std::move(response_); }

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
  HttpParseProgress step(evbuffer* input);
  HttpParseProgress lineStep(std::string_view line);
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
  bool close_framed_;
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
