#pragma once

/// @file
/// An HTTP/1.1 client for one endpoint that tells truthfully what became of each request.
///
/// It stands on bufferevents and not on evhttp's client, because that one (2.1.12) reports a connection that
/// never came about like one lost after sending, takes an answer without Content-Length as whole when the
/// connection ends, and reads bytes that follow an answer as the answer to the next request.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "shedlever/http_messages.h"
#include "shedlever/identifiers.h"
#include "shedlever/time.h"
#include "source/net/event_loop.h"

namespace shedlever {

/// How an exchange ended.
enum class HttpExchangeStatus : std::uint8_t {
  Complete,        ///< a whole answer that passed the caller's check
  NotSent,         ///< proved: no byte of the request was handed to the network
  ConnectionLost,  ///< the connection ended after (some of) the request was sent, before any byte of an answer
  Malformed,       ///< the answer was cut short, can't be understood, is over the limits or failed the check
  TimedOut,        ///< sent, no whole answer in time
  Cancelled,       ///< sent, then cancelled by the caller
};

struct HttpExchangeResult {
  HttpExchangeStatus status = HttpExchangeStatus::NotSent;
  /// With Complete only.
  HttpResponse response;
  /// With NotSent: nothing listens at the server's address, so the program there has ended.
  bool connection_refused = false;
};

/// Names an exchange of one client.
using HttpExchangeId = std::uint64_t;

using HttpExchangeCallback = std::function<void(HttpExchangeResult)>;

/// @return whether a whole answer belongs to the request.
using HttpResponseValidator = std::function<bool(const HttpResponse&)>;

struct HttpClientConfig {
  Endpoint server;
  /// Requests beyond these connections wait their turn, first come first served.
  std::size_t max_connections = 1;
  Duration connect_timeout = std::chrono::seconds(1);
  /// A connection without work is closed after this long; zero: none is used twice.
  Duration idle_timeout = std::chrono::seconds(30);
  std::size_t max_header_bytes = 64U << 10U;
  std::size_t max_body_bytes = 64U << 20U;
  /// A connection whose other end acknowledges nothing for so long is lost, also while an answer is waited for; zero
  /// leaves that to the timeouts.
  Duration dead_peer_timeout = Duration::zero();
  /// Whether `Host` is passed on as the request has it; otherwise it is the server's address.
  bool preserve_host = false;
  /// Whether an answer without a length may end with its connection, if that ends in order.
  bool allow_close_delimited = false;
};

/// A pool of connections. One exchange at a time on each; a connection is used again only after a whole
/// answer with nothing behind it. Never sends a request twice.
class HttpClient {
 public:
  /// @param loop outlives the client.
  HttpClient(EventLoop& loop, HttpClientConfig config);
  /// Closes all connections; callbacks that have not run will not run.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// @param request `Host`, `Content-Length` and `Connection` are added; such headers of its own are left out.
  /// @param timeout over all: waiting for a connection, connecting, sending, receiving.
  /// @param done runs exactly once, from the loop and never inside `send` or `cancel`.
  /// @param check an answer that fails it ends the exchange as Malformed and closes the connection. May be empty.
  HttpExchangeId send(HttpRequest request, Duration timeout, HttpExchangeCallback done,
                      HttpResponseValidator check = {});

  /// Gives an exchange up; it ends as NotSent or Cancelled. One that has ended is ignored.
  void cancel(HttpExchangeId exchange);

  /// @return whether any byte of the exchange's request was handed to the network; false once it has ended.
  bool hasSentBytes(HttpExchangeId exchange) const;

  /// @return connections that are open or being opened.
  std::size_t openConnections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shedlever
