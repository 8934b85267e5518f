#pragma once

/// @file
/// An HTTP/1.1 server on the event loop, based on libevent's evhttp.

#include <cstddef>
#include <functional>
#include <memory>

#include "shedlever/errors.h"
#include "shedlever/http_messages.h"
#include "shedlever/identifiers.h"
#include "source/net/event_loop.h"

namespace shedlever {

struct HttpServerLimits {
  /// Limit for request line and headers together.
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 8U << 20U;
  /// A connection without any transfer for this time is closed. Does not apply while a response is pending.
  Duration idle_timeout = std::chrono::seconds(60);
};

/// The part of a request that exceeded its limit.
enum class HttpOversize : std::uint8_t {
  None,
  Headers,  ///< usually answered with status 431
  Body,     ///< usually answered with status 413; the body was dropped
};

struct HttpServerRequest {
  HttpRequest http;
  /// The client's address.
  Endpoint peer;
  /// A request of up to twice the limits still reaches the handler, marked here and without its body, so that the
  /// handler can format the response. Beyond that evhttp responds itself (400 for headers, 413 for a body) and closes
  /// the connection; the handler is not called.
  HttpOversize oversize = HttpOversize::None;
};

/// Responds to one request, immediately or later. Copies refer to the same request. The client receives status 500 when
/// all copies are destroyed without a response. All calls do nothing after the server was destroyed.
class HttpResponder {
 public:
  /// Sends the response with Content-Length. Calls after the first are ignored. Framing headers of the response
  /// (Content-Length, Transfer-Encoding, Connection) are left out, because the server sets them.
  void reply(HttpResponse response);

  /// @param callback runs once from the loop if the client disconnects before the response.
  void onDisconnect(std::function<void()> callback);

  /// @return whether a response can still be sent to the client.
  bool isOpen() const;

  class Exchange;
  explicit HttpResponder(std::shared_ptr<Exchange> exchange);

 private:
  std::shared_ptr<Exchange> exchange_;
};

using HttpHandler = std::function<void(HttpServerRequest request, HttpResponder responder)>;

/// Listens on one address. The handler receives all methods that evhttp supports (GET, HEAD, POST, PUT, DELETE,
/// OPTIONS, TRACE, CONNECT, PATCH). Other methods are answered with status 501.
class HttpServer {
 public:
  /// @param listen port 0 selects a free port.
  /// @return the server, or a NetworkError.
  static leaf::result<std::unique_ptr<HttpServer>> listen(EventLoop& loop, const Endpoint& listen,
                                                          const HttpServerLimits& limits, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @return the address and port that the server listens on.
  const Endpoint& endpoint() const;

  /// @return the number of requests that were passed to the handler and have no response yet.
  std::size_t inFlightRequests() const;

  /// Stops accepting connections, completes the requests in flight and closes each connection after its response.
  /// @param done runs from the loop when all responses are written.
  void drain(std::function<void()> done);

 private:
  class Impl;
  explicit HttpServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace shedlever
