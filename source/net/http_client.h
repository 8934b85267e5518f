#pragma once

/// @file
/// An HTTP/1.1 client for one endpoint that reports reliably whether a request was sent and answered.
///
/// The client uses bufferevents instead of libevent's evhttp client. The evhttp client (2.1.12) reports a failed
/// connect like a connection lost after sending, accepts a response without Content-Length as complete when the
/// connection closes, and reads bytes after a response as the response to the next request.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "shedlever/http_messages.h"
#include "shedlever/identifiers.h"
#include "shedlever/time.h"
#include "source/net/event_loop.h"
#include "source/net/memory_budget.h"

namespace shedlever {

/// The outcome of an exchange.
enum class HttpExchangeStatus : std::uint8_t {
  Complete,        ///< a complete response that passed the caller's validator
  NotSent,         ///< certain: no byte of the request was written to the network
  ConnectionLost,  ///< the connection closed after some of the request was sent, before any byte of a response
  Malformed,       ///< the response was truncated, invalid, over the limits or rejected by the validator
  TimedOut,        ///< sent, no complete response before the timeout
  Cancelled,       ///< sent, then cancelled by the caller
};

struct HttpExchangeResult {
  HttpExchangeStatus status = HttpExchangeStatus::NotSent;
  /// Only with Complete.
  HttpResponse response;
  /// Only with NotSent: no process listens on the server's address.
  bool connection_refused = false;
};

/// Identifies an exchange of one client.
using HttpExchangeId = std::uint64_t;

using HttpExchangeCallback = std::function<void(HttpExchangeResult)>;

/// What a complete response means for its exchange and its connection.
enum class HttpResponseVerdict : std::uint8_t {
  Accept,          ///< belongs to the exchange
  AcceptAndClose,  ///< as Accept, but a copy of it could pass for a later response: the connection is not reused
  Reject,          ///< does not belong to the exchange, which ends as Malformed; the connection is closed
};

/// @param reused the connection has carried an earlier exchange, whose response may have been sent a second time.
using HttpResponseValidator = std::function<HttpResponseVerdict(const HttpResponse&, bool reused)>;

struct HttpExchangeOptions {
  /// Identifies the request among those that may be sent more than once. A connection carries an identity only once:
  /// a late copy of the response to the first send would pass for the response to the second. Empty: no restriction.
  std::string identity;
  /// Whether the exchange uses a connection of its own, which is closed after it.
  bool alone = false;
  /// May be empty, which accepts every complete response.
  HttpResponseValidator validator;
};

struct HttpClientConfig {
  Endpoint server;
  /// Further requests wait in a FIFO queue.
  std::size_t max_connections = 1;
  Duration connect_timeout = std::chrono::seconds(1);
  /// An idle connection is closed after this time. Zero disables the reuse of connections.
  Duration idle_timeout = std::chrono::seconds(30);
  std::size_t max_header_bytes = 64U << 10U;
  std::size_t max_body_bytes = 64U << 20U;
  /// A connection counts as lost when the server has acknowledged nothing for this time, also while a response is
  /// pending. Zero disables this check.
  Duration dead_peer_timeout = Duration::zero();
  /// Charged for the bodies of responses while they are received. A response that exceeds it ends as Malformed. May be
  /// null; outlives the client.
  MemoryBudget* response_budget = nullptr;
  /// Whether the `Host` header of the request is forwarded; otherwise it is the server's address.
  bool preserve_host = false;
  /// Whether a response without a length may be delimited by an orderly close of the connection.
  bool allow_close_delimited = false;
};

/// A pool of connections, each with one exchange at a time. A connection is reused only after a complete response
/// without trailing bytes. Never sends a request twice.
class HttpClient {
 public:
  /// @param loop must outlive the client.
  HttpClient(EventLoop& loop, HttpClientConfig config);
  /// Closes all connections. Pending callbacks do not run.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// @param request framing headers and `Expect` are left out. `Content-Length` is added, and so is `Host` unless
  ///   `preserve_host` is set.
  /// @param timeout for the whole exchange: waiting for a connection, connecting, sending and receiving.
  /// @param done runs exactly once, from the loop and never inside `send` or `cancel`.
  HttpExchangeId send(HttpRequest request, Duration timeout, HttpExchangeCallback done,
                      HttpExchangeOptions options = {});

  /// Cancels an exchange, which ends as NotSent or Cancelled. Does nothing if the exchange has ended.
  void cancel(HttpExchangeId exchange);

  /// @return whether any byte of the request was written to the network. False once the exchange has ended.
  bool hasSentBytes(HttpExchangeId exchange) const;

  /// @return the number of connections that are open or connecting.
  std::size_t openConnections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shedlever
