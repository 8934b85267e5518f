#pragma once

/// @file
/// An HTTP/1.1 server for untrusted clients, which protects against request smuggling. A request that two parsers could
/// interpret differently is answered with status 400; the connection is closed and nothing more is read from it.
///
/// The server uses bufferevents and the http_parser library instead of evhttp. The latter (2.1.12) accepts duplicate
/// Content-Length headers, a blank before the colon, signs in lengths, folded lines and bare line feeds.

#include <cstddef>
#include <functional>
#include <memory>

#include "shedlever/errors.h"
#include "shedlever/http_messages.h"
#include "shedlever/identifiers.h"
#include "source/net/event_loop.h"
#include "source/net/link_pacer.h"
#include "source/net/memory_budget.h"
#include "source/net/pipelined_exchanges.h"

namespace shedlever {

struct StrictHttpLimits {
  /// Limit for request line and headers together.
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 64U << 20U;
  /// Limit for the time from the first byte of a request to the end of its headers.
  Duration header_timeout = std::chrono::seconds(3);
  /// A connection without a request is closed after this time.
  Duration idle_timeout = std::chrono::seconds(15);
};

class StrictHttpConnection;

/// Responds to one request, immediately or later. Copies refer to the same request. All calls do nothing after the
/// client disconnected or the server was destroyed.
class StrictHttpResponder {
 public:
  explicit StrictHttpResponder(std::weak_ptr<StrictHttpConnection> connection,
                               PipelinedExchanges::Number request_number)
      : connection_(std::move(connection)), request_number_(request_number) {}

  /// Sends the response with Content-Length. Framing headers of the response are left out.
  void reply(HttpResponse response) const;

  /// Closes the connection without a response.
  void abort() const;

  /// @param callback runs once from the loop if the client disconnects before the response.
  void onDisconnect(std::function<void()> callback) const;

 private:
  std::weak_ptr<StrictHttpConnection> connection_;
  PipelinedExchanges::Number request_number_;
};

using StrictHttpHandler = std::function<void(HttpRequest request, StrictHttpResponder responder)>;

/// @return whether the request may run beside other such requests of its connection. It must be safe to run them in any
///   order, and harmless to run the request again, because the client repeats it if the connection ends first.
using MayRunAhead = std::function<bool(const HttpRequest& request)>;

/// Listens on one address. Requests of one connection are passed to the handler one at a time, except for those that
/// may run ahead. Responses are written in the order of the requests.
class StrictHttpServer {
 public:
  /// @param listen port 0 selects a free port.
  /// @param pacer paces large responses to the rate of the machine's link. May be null.
  /// @return the server, or a NetworkError.
  static leaf::result<std::unique_ptr<StrictHttpServer>> listen(EventLoop& loop, const Endpoint& listen,
                                                                const StrictHttpLimits& limits,
                                                                StrictHttpHandler handler, LinkPacer* pacer = nullptr);
  ~StrictHttpServer();
  StrictHttpServer(const StrictHttpServer&) = delete;
  StrictHttpServer& operator=(const StrictHttpServer&) = delete;

  /// @return the address and port that the server listens on.
  const Endpoint& endpoint() const;

  /// Applies to requests that begin after the call.
  void setLimits(const StrictHttpLimits& limits);

  /// Allows some requests to run ahead; before, none may.
  void setMayRunAhead(MayRunAhead may_run_ahead);

  /// Limits the memory of the bodies that clients send; before, it is not limited. A body that does not fit is refused
  /// with status 413 if it never would, and with 503 otherwise; for a body that is complete or arrives later, the
  /// largest ones that are not complete are refused first.
  /// @param budget outlives the server.
  void setBodyBudget(MemoryBudget& budget);

  /// @param callback runs for each request that is rejected without calling the handler, with the response status.
  void onRejected(std::function<void(int status)> callback);

  /// From now on each connection is closed after the responses to the requests that were passed to the handler.
  void closeAfterResponses();

  /// Closes the connections that have neither a request, nor input that was not read yet, nor an unwritten response.
  void closeIdleConnections();

  /// @return the number of connections with a pending response, with response bytes that are not written yet, with
  ///   input that was not read yet, or that wait for the client to close. If the process exits while there are any, a
  ///   client may receive a truncated response or none.
  std::size_t busyConnections() const;

  /// @return the number of requests that were passed to the handler and have no response yet.
  std::size_t inFlightRequests() const;

  struct State;

 private:
  explicit StrictHttpServer(std::shared_ptr<State> state);
  std::shared_ptr<State> state_;
};

}  // namespace shedlever
