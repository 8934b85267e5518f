#pragma once

/// @file
/// One client connection; carries one exchange at a time.

#include <cstddef>
#include <memory>
#include <optional>

#include "source/net/event_loop.h"
#include "source/net/http_client.h"
#include "source/net/http_response_parser.h"

namespace shedlever {

class HttpConnection;

/// What a pool is told by its connections. The connection may be destroyed inside either call.
class HttpConnectionObserver {
 public:
  virtual ~HttpConnectionObserver() = default;

  /// The exchange under way has ended.
  /// @param reusable whether the connection may carry another.
  virtual void exchangeEnded(HttpConnection& connection, HttpExchangeResult exchange, bool reusable) = 0;

  /// The connection ended, or something arrived on it, while it carried no exchange.
  virtual void idleConnectionUnusable(HttpConnection& connection) = 0;
};

class HttpConnection {
 public:
  /// Begins to connect.
  /// @param loop, config, observer outlive the connection.
  HttpConnection(EventLoop& loop, const HttpClientConfig& config, HttpConnectionObserver& observer);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Sends the request, once connected. Only while it carries none.
  /// @param head request line and headers, with the empty line.
  void start(std::string head, std::string body, bool is_head);

  /// @return whether any byte of the present request was handed to the network.
  bool hasSentBytes() const;

  /// @return how long the server said that it keeps the connection without work, less a part for the way.
  Duration keepAliveTimeout() const { return keep_alive_; }

  /// @return whether the connection still looks open: nothing to read, no end seen by the kernel.
  bool appearsOpen() const;

 private:
  static void onRead(bufferevent* stream, void* argument);
  static void onEvent(bufferevent* stream, short events, void* argument);

  void connect();
  void connected();
  void writeRequest();
  void readResponse();
  /// @param in_order whether the server ended the connection in order.
  /// @param refused whether nothing listens at the server's address.
  void connectionClosed(bool in_order, bool refused);
  void endExchange(HttpExchangeResult exchange, bool reusable);

  EventLoop& loop_;
  const HttpClientConfig& config_;
  HttpConnectionObserver& observer_;
  BufferEventHandle stream_;
  /// Runs out when no connection comes about, or tells of a failure inside the constructor.
  TimerId connect_timer_ = 0;
  bool connected_ = false;
  Duration keep_alive_ = Duration::max();
  bool exchange_active_ = false;
  std::string head_;
  std::string body_;
  /// Bytes of the present request.
  std::size_t request_size_ = 0;
  std::optional<HttpResponseParser> parser_;
};

}  // namespace shedlever
