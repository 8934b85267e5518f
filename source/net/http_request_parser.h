#pragma once

/// @file
/// An incremental, strict parser for HTTP/1.1 requests. See strict_http_server.h.

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "shedlever/http_messages.h"
#include "source/net/event_handles.h"

namespace shedlever {

enum class HttpRequestParseStatus : std::uint8_t {
  Empty,            ///< no byte of a request received
  InHeaders,        ///< the headers are incomplete
  InBody,           ///< the headers are complete, the body is not
  Complete,         ///< `takeRequest` returns the request
  Invalid,          ///< respond with status 400
  HeadersTooLarge,  ///< respond with status 431
  BodyTooLarge,     ///< respond with status 413
};

/// Parses one request.
class HttpRequestParser {
 public:
  /// @param header_limit request line and headers together, in bytes.
  /// @param body_limit in bytes.
  HttpRequestParser(std::size_t header_limit, std::size_t body_limit);

  /// Removes the bytes from the buffer that belong to the request.
  HttpRequestParseStatus consume(evbuffer* input);

  /// @return bytes of the body received so far.
  std::size_t bodyBytes() const { return request_.body.size(); }

  /// Moves the request out. Valid after Complete. Framing headers are left out.
  HttpRequest takeRequest() { return std::move(request_); }

  /// @return whether the client keeps the connection open. Valid after Complete.
  bool keepsConnection() const { return keeps_connection_; }

  /// @return true once if the client waits for "100 Continue".
  bool takeExpectsContinue() { return std::exchange(expects_continue_, false); }

 private:
  static int onUrl(http_parser* parser, const char* text, std::size_t size);
  static int onHeaderField(http_parser* parser, const char* text, std::size_t size);
  static int onHeaderValue(http_parser* parser, const char* text, std::size_t size);
  static int onHeadersComplete(http_parser* parser);
  static int onBody(http_parser* parser, const char* text, std::size_t size);
  static int onMessageComplete(http_parser* parser);
  static const http_parser_settings& settings();

  HttpRequestParseStatus takeHeaders(evbuffer* input);
  HttpRequestParseStatus takeBody(evbuffer* input);
  bool headersAreValid();

  std::size_t header_limit_;
  std::size_t body_limit_;
  http_parser parser_{};
  HttpRequest request_;
  bool last_was_value_ = false;
  bool headers_done_ = false;
  bool done_ = false;
  bool body_too_large_ = false;
  bool keeps_connection_ = true;
  bool expects_continue_ = false;
};

}  // namespace shedlever
