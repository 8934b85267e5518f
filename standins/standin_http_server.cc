#include "standins/standin_http_server.h"

#include <arpa/inet.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>
#include <vector>

namespace shedlever::standins {

namespace {

struct MethodName {
  evhttp_cmd_type type;
  const char* name;
};

constexpr std::array<MethodName, 9> kMethods = {{{EVHTTP_REQ_GET, "GET"},
                                                 {EVHTTP_REQ_POST, "POST"},
                                                 {EVHTTP_REQ_HEAD, "HEAD"},
                                                 {EVHTTP_REQ_PUT, "PUT"},
                                                 {EVHTTP_REQ_DELETE, "DELETE"},
                                                 {EVHTTP_REQ_OPTIONS, "OPTIONS"},
                                                 {EVHTTP_REQ_TRACE, "TRACE"},
                                                 {EVHTTP_REQ_CONNECT, "CONNECT"},
                                                 {EVHTTP_REQ_PATCH, "PATCH"}}};

std::string percentDecode(const std::string& text) {
  std::size_t size = 0;
  char* const plain = evhttp_uridecode(text.c_str(), 0, &size);
  if (plain == nullptr) {
    return text;
  }
  std::string result(plain, size);
  free(plain);  // NOLINT(cppcoreguidelines-no-malloc): allocated by evhttp with malloc
  return result;
}

void parseTarget(StandinRequest& request) {
  const std::string& target = request.http.target;
  const std::size_t mark = target.find('?');
  request.path = percentDecode(target.substr(0, mark));
  if (mark == std::string::npos) {
    return;
  }
  evkeyvalq fields{};
  evhttp_parse_query_str(target.c_str() + mark + 1, &fields);
  for (const evkeyval* field = fields.tqh_first; field != nullptr; field = field->next.tqe_next) {
    request.query[field->key] = field->value;
  }
  evhttp_clear_headers(&fields);
}

StandinRequest readRequest(evhttp_request* raw) {
  StandinRequest request;
  const evhttp_cmd_type type = evhttp_request_get_command(raw);
  const auto method = std::find_if(kMethods.begin(), kMethods.end(), [type](const auto& m) { return m.type == type; });
  request.http.method = method == kMethods.end() ? "" : method->name;
  request.http.target = evhttp_request_get_uri(raw);
  const evkeyvalq* headers = evhttp_request_get_input_headers(raw);
  for (const evkeyval* field = headers->tqh_first; field != nullptr; field = field->next.tqe_next) {
    request.http.headers.push_back({field->key, field->value});
  }
  evbuffer* body = evhttp_request_get_input_buffer(raw);
  request.http.body.resize(evbuffer_get_length(body));
  evbuffer_copyout(body, request.http.body.data(), request.http.body.size());
  parseTarget(request);
  return request;
}

std::string serialize(const HttpResponse& response) {
  std::string bytes = "HTTP/1.1 " + std::to_string(response.status) + " Again\r\n";
  for (const HttpHeader& header : response.headers) {
    bytes += header.name + ": " + header.value + "\r\n";
  }
  return bytes + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}

}  // namespace

std::string StandinRequest::header(const std::string& name) const {
  for (const HttpHeader& header : http.headers) {
    if (strcasecmp(header.name.c_str(), name.c_str()) == 0) {
      return header.value;
    }
  }
  return "";
}

/// One request and its response.
class StandinResponder::Exchange {
 public:
  Exchange(StandinHttpServer& server, evhttp_request* request) : server_(&server), request_(request) {}
  ~Exchange() { drop(); }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  bool open() const { return request_ != nullptr; }

  void send(const HttpResponse& response, const std::string& trailing_bytes) {
    if (!open()) {
      return;
    }
    addHeaders(response);
    const EventBuffer body(evbuffer_new());
    evbuffer_add(body.get(), response.body.data(), response.body.size());
    evbuffer_add(body.get(), trailing_bytes.data(), trailing_bytes.size());
    evhttp_send_reply(std::exchange(request_, nullptr), response.status, nullptr, body.get());
  }

  void sendTruncated(const HttpResponse& response) {
    if (!open()) {
      return;
    }
    addHeaders(response);
    evhttp_send_reply_start(request_, response.status, nullptr);
    const EventBuffer body(evbuffer_new());
    evbuffer_add(body.get(), response.body.data(), response.body.size() / 2);
    evhttp_request* const request = std::exchange(request_, nullptr);
    evhttp_send_reply_chunk_with_cb(request, body.get(), &Exchange::onTruncatedWritten, server_);
  }

  void sendRaw(const std::string& bytes) {
    if (!open()) {
      return;
    }
    // Not through evhttp's buffer: once that is written, evhttp counts the request as answered. A few kilobytes fit
    // into the socket's buffer.
    bufferevent* stream = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request_));
    ::send(bufferevent_getfd(stream), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    drop();
  }

  void drop() {
    if (open()) {
      server_->closeSoon(evhttp_request_get_connection(std::exchange(request_, nullptr)));
    }
  }

  /// Frees the request: when the client closes the connection, evhttp leaves the request to its handler.
  void onConnectionClosed() {
    if (open()) {
      evhttp_request_free(std::exchange(request_, nullptr));
    }
  }

  /// Drops the reference to the request, which the server frees with its connection on destruction.
  void detach() { request_ = nullptr; }

 private:
  static void onTruncatedWritten(evhttp_connection* connection, void* server) {
    static_cast<StandinHttpServer*>(server)->closeSoon(connection);
  }

  void addHeaders(const HttpResponse& response) {
    evkeyvalq* headers = evhttp_request_get_output_headers(request_);
    for (const HttpHeader& header : response.headers) {
      evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    }
    evhttp_add_header(headers, "Content-Length", std::to_string(response.body.size()).c_str());
    if (server_->bound_ == nullptr) {
      evhttp_add_header(headers, "Connection", "close");
    }
  }

  StandinHttpServer* server_;
  evhttp_request* request_;
};

void StandinResponder::reply(const HttpResponse& response) { exchange_->send(response, ""); }

void StandinResponder::replyJson(int status, const std::string& json) {
  reply({status, {{"Content-Type", "application/json"}}, json});
}

void StandinResponder::replyTruncated(const HttpResponse& response) { exchange_->sendTruncated(response); }

void StandinResponder::replyTwice(const HttpResponse& response) { exchange_->send(response, serialize(response)); }

void StandinResponder::replyRaw(const std::string& bytes) { exchange_->sendRaw(bytes); }

void StandinResponder::drop() { exchange_->drop(); }

bool StandinResponder::open() const { return exchange_->open(); }

leaf::result<std::unique_ptr<StandinHttpServer>> StandinHttpServer::listen(EventLoop& loop, const Endpoint& listen,
                                                                           std::size_t connection_limit,
                                                                           StandinHandler handler) {
  std::unique_ptr<StandinHttpServer> server(new StandinHttpServer(loop));
  server->handler_ = std::move(handler);
  server->connection_limit_ = connection_limit;
  server->http_.reset(evhttp_new(loop.base()));
  unsigned methods = 0;
  for (const MethodName& method : kMethods) {
    methods |= method.type;
  }
  evhttp_set_allowed_methods(server->http_.get(), static_cast<ev_uint16_t>(methods));
  evhttp_set_gencb(server->http_.get(), &StandinHttpServer::requestArrived, server.get());
  server->bound_ = evhttp_bind_socket_with_handle(server->http_.get(), listen.address.c_str(), listen.port);
  if (server->bound_ == nullptr) {
    return leaf::new_error(NetworkError{"bind " + toString(listen), errno});
  }
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(evhttp_bound_socket_get_fd(server->bound_), reinterpret_cast<sockaddr*>(&address), &size);
  server->endpoint_ = {listen.address, ntohs(address.sin_port)};
  return server;
}

StandinHttpServer::~StandinHttpServer() {
  *alive_ = false;
  for (auto& [connection, exchange] : connections_) {
    if (const auto open = exchange.lock()) {
      open->detach();
    }
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
  }
}

void StandinHttpServer::stopListening() {
  if (bound_ == nullptr) {
    return;
  }
  evhttp_del_accept_socket(http_.get(), std::exchange(bound_, nullptr));
  std::vector<evhttp_connection*> idle;
  for (const auto& [connection, latest] : connections_) {
    const auto exchange = latest.lock();
    if (!exchange || !exchange->open()) {
      idle.push_back(connection);
    }
  }
  for (evhttp_connection* const connection : idle) {
    evhttp_connection_free(connection);
  }
}

void StandinHttpServer::requestArrived(evhttp_request* request, void* self) {
  auto* const server = static_cast<StandinHttpServer*>(self);
  evhttp_connection* const connection = evhttp_request_get_connection(request);
  const auto exchange = std::make_shared<StandinResponder::Exchange>(*server, request);
  if (!server->admitConnection(connection)) {
    exchange->drop();
    return;
  }
  server->connections_[connection] = exchange;
  server->handler_(readRequest(request), StandinResponder(exchange));
}

bool StandinHttpServer::admitConnection(evhttp_connection* connection) {
  const bool known = connections_.contains(connection);
  const bool admitted = known || connection_limit_ == 0 || connections_.size() < connection_limit_;
  connections_.try_emplace(connection);
  evhttp_connection_set_closecb(connection, &StandinHttpServer::connectionClosed, this);
  return admitted;
}

void StandinHttpServer::connectionClosed(evhttp_connection* connection, void* self) {
  auto* const server = static_cast<StandinHttpServer*>(self);
  const auto found = server->connections_.find(connection);
  if (found == server->connections_.end()) {
    return;
  }
  const auto exchange = found->second.lock();
  server->connections_.erase(found);
  if (exchange) {
    exchange->onConnectionClosed();
  }
}

void StandinHttpServer::closeSoon(evhttp_connection* connection) {
  // evhttp does not allow a connection to be freed inside its own callbacks.
  loop_.post([this, connection, alive = alive_] {
    if (*alive && connections_.contains(connection)) {
      evhttp_connection_free(connection);
    }
  });
}

}  // namespace shedlever::standins
