#pragma once

/// @file
/// An HTTP/1.1 server on the event loop, by evhttp.

#include <cstddef>
#include <functional>
#include <memory>

#include "shedlever/errors.h"
#include "shedlever/http_messages.h"
#include "shedlever/identifiers.h"
#include "source/net/event_loop.h"

namespace shedlever {

/// Limits of one server, in bytes.
struct HttpServerLimits {
  /// Request line and headers together.
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 8U << 20U;
  /// A connection that neither sends nor takes anything for this long is closed. Not counted while a
  /// request waits for its answer.
  Duration idle_timeout = std::chrono::seconds(60);
};

/// What of a request was over its limit.
enum class HttpOversize : std::uint8_t {
  None,
  Headers,  ///< usually answered with 431
  Body,     ///< usually answered with 413; the body has been dropped
};

struct HttpServerRequest {
  HttpRequest http;
  /// The other end of the connection.
  Endpoint peer;
  /// Up to twice the limits a request still reaches the handler, marked here and without its body, so that
  /// the answer can be of the handler's own form. Beyond that evhttp itself answers (400 for headers, 413 for a
  /// body) and closes; nothing has reached the handler then.
  HttpOversize oversize = HttpOversize::None;
};

/// Answers one request, now or later. Copies name the same request. When all copies are gone without an
/// answer the client gets 500. After the server is destroyed all calls do nothing.
class HttpResponder {
 public:
  /// Sends the answer with Content-Length. Only the first call counts. Headers that frame the message
  /// (Content-Length, Transfer-Encoding, Connection) are the server's own business and left out.
  void reply(HttpResponse response);

  /// @param gone runs once from the loop if the client goes away before it has been answered.
  void onDisconnect(std::function<void()> gone);

  /// @return whether an answer can still reach the client.
  bool isOpen() const;

  class Exchange;
  explicit HttpResponder(std::shared_ptr<Exchange> exchange);

 private:
  std::shared_ptr<Exchange> exchange_;
};

using HttpHandler = std::function<void(HttpServerRequest request, HttpResponder responder)>;

/// Listens on one address. All methods that evhttp knows reach the handler (GET, HEAD, POST, PUT, DELETE,
/// OPTIONS, TRACE, CONNECT, PATCH); other words are answered with 501.
class HttpServer {
 public:
  /// @param listen port 0 takes a free one.
  /// @return the server, or a NetworkError.
  static leaf::result<std::unique_ptr<HttpServer>> listen(EventLoop& loop, const Endpoint& listen,
                                                          const HttpServerLimits& limits, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @return where it listens, with the port in use.
  const Endpoint& endpoint() const;

  /// @return requests that were handed to the handler and not answered.
  std::size_t inFlightRequests() const;

  /// Accepts no more connections, answers what is in flight and closes each connection after its answer.
  /// @param done runs from the loop once nothing is in flight.
  void drain(std::function<void()> done);

 private:
  class Impl;
  explicit HttpServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace shedlever
