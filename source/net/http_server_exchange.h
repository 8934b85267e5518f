#pragma once

/// @file
/// One request in the hands of an HttpServer's handler.

#include <functional>
#include <memory>

#include "source/net/event_loop.h"
#include "source/net/http_server.h"

namespace shedlever {

/// What a server is told by its exchanges.
class HttpExchangeObserver {
 public:
  virtual ~HttpExchangeObserver() = default;

  /// The answer was handed to evhttp; it is being written.
  virtual void responseStarted(std::shared_ptr<HttpResponder::Exchange> exchange) = 0;
  /// The answer is written, or the client is gone.
  virtual void exchangeEnded(HttpResponder::Exchange& exchange) = 0;
  /// @return whether the connection is to be closed after the answer.
  virtual bool closesAfterResponse() const = 0;
};

/// The state behind responders: waits for the answer or for the client to go away.
class HttpResponder::Exchange : public std::enable_shared_from_this<HttpResponder::Exchange> {
 public:
  /// @param request is owned by evhttp and stays valid until answered or its connection closed.
  Exchange(EventLoop& loop, HttpExchangeObserver& observer, evhttp_request* request);
  /// Answers with 500 if nobody has.
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void reply(HttpResponse response);
  void setDisconnectCallback(std::function<void()> gone);
  bool isOpen() const { return request_ != nullptr; }

  /// The server is being destroyed; nothing may be called on it or on evhttp any more.
  void abandon();

 private:
  void clientDisconnected();
  void watchConnection();
  void write(HttpResponse response);
  void ended();

  EventLoop& loop_;
  HttpExchangeObserver* observer_;
  /// Null once answered or gone.
  evhttp_request* request_;
  /// Fires when the other end closes. evhttp itself does not look while a request waits for its answer.
  EventHandle closed_event_;
  std::function<void()> on_disconnect_;
};

}  // namespace shedlever
