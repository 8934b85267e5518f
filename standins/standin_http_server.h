#pragma once

/// @file
/// HTTP server of the stand-ins, by evhttp. Unlike the product's it can answer wrongly on purpose: cut an
/// answer, send it twice, close without one, and refuse connections over a cap.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "shedlever/errors.h"
#include "shedlever/http_messages.h"
#include "shedlever/identifiers.h"
#include "source/net/event_loop.h"

struct evhttp_request;
struct evhttp_connection;

namespace shedlever::standins {

struct StandinRequest {
  HttpRequest http;
  /// The target's path, percent-decoded, without the query.
  std::string path;
  std::map<std::string, std::string> query;

  /// @return the header's value, names compared without case; empty when absent.
  std::string header(const std::string& name) const;
};

/// Answers one request, now or later; copies name the same request. When all are gone without an answer the
/// connection is closed.
class StandinResponder {
 public:
  void reply(const HttpResponse& response);
  void replyJson(int status, const std::string& json);
  /// Sends the headers of the whole answer and half of its body, then closes.
  void replyTruncated(const HttpResponse& response);
  /// Sends the answer twice in one go.
  void replyTwice(const HttpResponse& response);
  /// Closes the connection without an answer.
  void drop();
  /// @return whether an answer can still reach the client.
  bool open() const;

  class Exchange;
  explicit StandinResponder(std::shared_ptr<Exchange> exchange) : exchange_(std::move(exchange)) {}

 private:
  std::shared_ptr<Exchange> exchange_;
};

using StandinHandler = std::function<void(const StandinRequest& request, StandinResponder responder)>;

class StandinHttpServer {
 public:
  /// @param connection_limit a first request on a connection beyond it finds the connection closed; 0: none.
  /// @return the server, or a NetworkError.
  static leaf::result<std::unique_ptr<StandinHttpServer>> listen(EventLoop& loop, const Endpoint& listen,
                                                                 std::size_t connection_limit, StandinHandler handler);
  ~StandinHttpServer();
  StandinHttpServer(const StandinHttpServer&) = delete;
  StandinHttpServer& operator=(const StandinHttpServer&) = delete;

  const Endpoint& endpoint() const { return endpoint_; }
  std::size_t connections() const { return connections_.size(); }

 private:
  friend class StandinResponder::Exchange;
  explicit StandinHttpServer(EventLoop& loop) : loop_(loop) {}
  static void requestArrived(evhttp_request* request, void* self);
  static void connectionClosed(evhttp_connection* connection, void* self);
  bool admitConnection(evhttp_connection* connection);
  void closeSoon(evhttp_connection* connection);

  EventLoop& loop_;
  EvhttpHandle http_;
  Endpoint endpoint_;
  StandinHandler handler_;
  std::size_t connection_limit_ = 0;
  /// Connections that have brought a request, with the one in hand.
  std::unordered_map<evhttp_connection*, std::weak_ptr<StandinResponder::Exchange>> connections_;
  /// Ends callbacks that outlive the server.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever::standins
