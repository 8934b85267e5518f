#pragma once

/// @file
/// The state of one request that an HttpServer has passed to its handler.

#include <functional>
#include <memory>

#include "source/net/event_loop.h"
#include "source/net/http_server.h"

namespace shedlever {

/// Receives the events of exchanges.
class HttpExchangeObserver {
 public:
  virtual ~HttpExchangeObserver() = default;

  /// The response was passed to evhttp, which is writing it.
  virtual void responseStarted(std::shared_ptr<HttpResponder::Exchange> exchange) = 0;
  /// The response is written, or the client has disconnected.
  virtual void exchangeEnded(HttpResponder::Exchange& exchange) = 0;
  /// @return whether the connection must be closed after the response.
  virtual bool closesAfterResponse() const = 0;
};

/// The state shared by the copies of a responder. Waits for the response or for the client to disconnect.
class HttpResponder::Exchange : public std::enable_shared_from_this<HttpResponder::Exchange> {
 public:
  /// @param request is owned by evhttp. It stays valid until the response is sent or the connection is closed.
  Exchange(EventLoop& loop, HttpExchangeObserver& observer, evhttp_request* request);
  /// Sends status 500 if no response was sent.
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void reply(HttpResponse response);
  void setDisconnectCallback(std::function<void()> callback);
  bool isOpen() const { return request_ != nullptr; }

  /// Called when the server is being destroyed. Afterwards the exchange calls neither the server nor evhttp.
  void abandon();

 private:
  void clientDisconnected();
  void watchConnection();
  void write(HttpResponse response);
  void ended();

  EventLoop& loop_;
  HttpExchangeObserver* observer_;
  /// Null once the response was sent or the client has disconnected.
  evhttp_request* request_;
  /// Fires when the client closes the connection. evhttp does not detect this while a response is pending.
  EventHandle closed_event_;
  std::function<void()> on_disconnect_;
};

}  // namespace shedlever
