#pragma once

/// @file
/// An HTTP/1.1 server for clients that are not trusted to frame their requests well. What two parsers could read
/// differently is refused with 400, the connection is closed, and nothing behind it is read.
///
/// It stands on bufferevents and the http_parser library and not on evhttp, which (2.1.12) takes two lengths, a blank
/// before a colon, signs in lengths, folded lines and bare line feeds, and so lets a second request hide in a first.

#include <cstddef>
#include <functional>
#include <memory>

#include "shedlever/errors.h"
#include "shedlever/http_messages.h"
#include "shedlever/identifiers.h"
#include "source/net/event_loop.h"
#include "source/net/link_pacer.h"

namespace shedlever {

struct StrictHttpLimits {
  /// Request line and headers together.
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 64U << 20U;
  /// From the first byte of a request to the end of its headers.
  Duration header_timeout = std::chrono::seconds(3);
  /// A connection without a request is closed after this long.
  Duration idle_timeout = std::chrono::seconds(15);
};

class StrictHttpConnection;

/// Answers one request, now or later. Copies name the same request. Does nothing once the client is gone, or the
/// server destroyed.
class StrictHttpResponder {
 public:
  explicit StrictHttpResponder(std::weak_ptr<StrictHttpConnection> connection, std::uint64_t number)
      : connection_(std::move(connection)), request_number_(number) {}

  /// Sends the answer with its length. Headers that frame the message are left out.
  void reply(HttpResponse response) const;

  /// Ends the connection without an answer.
  void abort() const;

  /// @param gone runs once from the loop if the client goes away before it has been answered.
  void onDisconnect(std::function<void()> gone) const;

 private:
  std::weak_ptr<StrictHttpConnection> connection_;
  std::uint64_t request_number_;
};

using StrictHttpHandler = std::function<void(HttpRequest request, StrictHttpResponder replier)>;

/// Listens on one address. Requests that come pipelined are handed over one after the other.
class StrictHttpServer {
 public:
  /// @param pacer writes large answers at the pace of the machine's link; null: all are written at once.
  /// @return the server, or a NetworkError.
  static leaf::result<std::unique_ptr<StrictHttpServer>> listen(EventLoop& loop, const Endpoint& listen,
                                                                const StrictHttpLimits& limits,
                                                                StrictHttpHandler handler, LinkPacer* pacer = nullptr);
  ~StrictHttpServer();
  StrictHttpServer(const StrictHttpServer&) = delete;
  StrictHttpServer& operator=(const StrictHttpServer&) = delete;

  const Endpoint& endpoint() const;

  /// For requests that begin from now on.
  void setLimits(const StrictHttpLimits& limits);

  /// @param refused runs with the status of each answer to what could not be handed over.
  void onRejected(std::function<void(int status)> refused);

  /// Every answer from now on closes its connection.
  void closeAfterResponses();

  /// Closes connections that rest between requests.
  void closeIdleConnections();

  /// @return connections whose request is not answered, or whose answer is not written whole, or not taken yet by a
  ///   client that the connection is closed to. A process that ends with any would cut an answer.
  std::size_t busyConnections() const;

  /// @return requests that were handed over and not answered.
  std::size_t inFlightRequests() const;

  struct State;

 private:
  explicit StrictHttpServer(std::shared_ptr<State> state);
  std::shared_ptr<State> state_;
};

}  // namespace shedlever
