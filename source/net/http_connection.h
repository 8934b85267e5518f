#pragma once

/// @file
/// One client connection of an HttpClient, with one exchange at a time.

#include <cstddef>
#include <memory>
#include <optional>

#include "source/net/event_loop.h"
#include "source/net/http_client.h"
#include "source/net/http_response_parser.h"

namespace shedlever {

class HttpConnection;

/// Receives the events of a connection. The connection may be destroyed inside either call.
class HttpConnectionObserver {
 public:
  virtual ~HttpConnectionObserver() = default;

  /// The current exchange has ended.
  /// @param reusable whether the connection may be used for another exchange.
  virtual void exchangeEnded(HttpConnection& connection, HttpExchangeResult exchange, bool reusable) = 0;

  /// The connection was closed or received unexpected bytes while no exchange was active.
  virtual void idleConnectionUnusable(HttpConnection& connection) = 0;
};

class HttpConnection {
 public:
  /// Starts to connect.
  /// @param loop, config, observer must outlive the connection.
  HttpConnection(EventLoop& loop, const HttpClientConfig& config, HttpConnectionObserver& observer);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Sends the request as soon as the connection is established. No exchange may be active.
  /// @param head request line and headers, with the empty line.
  /// @param is_head whether the request's method is HEAD.
  void start(std::string head, std::string body, bool is_head);

  /// @return whether any byte of the current request was written to the network.
  bool hasSentBytes() const;

  /// @return the safe idle time, see HttpResponseParser::keepAliveTimeout; Duration::max() when unknown.
  Duration keepAliveTimeout() const { return keep_alive_; }

  /// @return whether the kernel has neither received bytes nor seen the connection close.
  bool appearsOpen() const;

 private:
  static void onRead(bufferevent* stream, void* argument);
  static void onEvent(bufferevent* stream, short events, void* argument);

  void connect();
  void connected();
  void writeRequest();
  void readResponse();
  /// @param orderly whether the server closed the connection with a FIN.
  /// @param refused whether no process listens on the server's address.
  void connectionClosed(bool orderly, bool refused);
  void endExchange(HttpExchangeResult exchange, bool reusable);

  EventLoop& loop_;
  const HttpClientConfig& config_;
  HttpConnectionObserver& observer_;
  BufferEventHandle stream_;
  /// Expires when the connection is not established in time, or reports an immediate failure of the constructor.
  TimerId connect_timer_ = 0;
  bool connected_ = false;
  Duration keep_alive_ = Duration::max();
  bool exchange_active_ = false;
  std::string head_;
  std::string body_;
  std::size_t request_bytes_ = 0;
  std::optional<HttpResponseParser> parser_;
  /// For the body of the current response.
  MemoryCharge charge_;
};

}  // namespace shedlever
