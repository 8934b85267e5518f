#pragma once

/// @file
/// HTTP server of the stand-ins, based on evhttp. Unlike the product's server, it can misbehave deliberately: truncate
/// a response, send it twice, close without a response, and refuse connections beyond a limit.

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
struct evhttp_bound_socket;

namespace shedlever::standins {

struct StandinRequest {
  HttpRequest http;
  /// Path of the target, percent-decoded, without the query.
  std::string path;
  std::map<std::string, std::string> query;

  /// @return the header's value, with names compared case-insensitively; empty if absent.
  std::string header(const std::string& name) const;
};

/// Responds to one request, immediately or later; copies refer to the same request. When the last copy is destroyed
/// without a response, the connection is closed.
class StandinResponder {
 public:
  void reply(const HttpResponse& response);
  void replyJson(int status, const std::string& json);
  /// Sends the headers of the complete response and half of its body, then closes the connection.
  void replyTruncated(const HttpResponse& response);
  /// Sends the response twice in succession.
  void replyTwice(const HttpResponse& response);
  /// Sends these bytes, at most a few kilobytes, in the place of a response, then closes the connection.
  void replyRaw(const std::string& bytes);
  /// Closes the connection without a response.
  void drop();
  /// @return whether a response can still be sent.
  bool open() const;

  class Exchange;
  explicit StandinResponder(std::shared_ptr<Exchange> exchange) : exchange_(std::move(exchange)) {}

 private:
  std::shared_ptr<Exchange> exchange_;
};

using StandinHandler = std::function<void(const StandinRequest& request, StandinResponder responder)>;

class StandinHttpServer {
 public:
  /// @param connection_limit a connection beyond it is closed at its first request; 0 means no limit.
  /// @return the server, or a NetworkError.
  static leaf::result<std::unique_ptr<StandinHttpServer>> listen(EventLoop& loop, const Endpoint& listen,
                                                                 std::size_t connection_limit, StandinHandler handler);
  ~StandinHttpServer();
  StandinHttpServer(const StandinHttpServer&) = delete;
  StandinHttpServer& operator=(const StandinHttpServer&) = delete;

  /// Closes the listening socket and the idle connections. Requests being executed still get their responses, after
  /// which their connections are closed too. Must not be called while a request arrives.
  void stopListening();

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
  /// Null once the server has stopped listening.
  evhttp_bound_socket* bound_ = nullptr;
  Endpoint endpoint_;
  StandinHandler handler_;
  std::size_t connection_limit_ = 0;
  /// Connections that have sent a request, with the exchange of the latest request.
  std::unordered_map<evhttp_connection*, std::weak_ptr<StandinResponder::Exchange>> connections_;
  /// Disables posted callbacks that outlive the server.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever::standins
