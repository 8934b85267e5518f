#include "source/net/http_server.h"

#include <event2/keyvalq_struct.h>

#include <cerrno>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "source/net/event_buffers.h"
#include "source/net/http_headers.h"
#include "source/net/http_server_exchange.h"
#include "source/net/socket_address.h"

namespace shedlever {

namespace {

/// Requests up to this multiple of the limits reach the handler, so that it can format the rejection.
constexpr std::size_t kHardLimitFactor = 2;
/// ": " and CR LF.
constexpr std::size_t kHeaderSeparatorBytes = 4;

constexpr ev_uint16_t kAllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                                    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_TRACE | EVHTTP_REQ_CONNECT |
                                    EVHTTP_REQ_PATCH;

const char* methodName(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    case EVHTTP_REQ_TRACE:
      return "TRACE";
    case EVHTTP_REQ_CONNECT:
      return "CONNECT";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
  }
  return "";
}

timeval toTimeval(Duration duration) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
  timeval value{};
  value.tv_sec = seconds.count();
  value.tv_usec = (duration - seconds).count();
  return value;
}

/// Moves the request out of evhttp, including its body.
HttpServerRequest takeRequest(evhttp_request* request, const HttpServerLimits& limits) {
  HttpServerRequest result;
  result.http.method = methodName(evhttp_request_get_command(request));
  result.http.target = evhttp_request_get_uri(request);
  std::size_t header_bytes = result.http.method.size() + result.http.target.size();
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  for (const evkeyval* header = headers->tqh_first; header != nullptr; header = header->next.tqe_next) {
    result.http.headers.push_back({header->key, header->value});
    const HttpHeader& added = result.http.headers.back();
    header_bytes += added.name.size() + added.value.size() + kHeaderSeparatorBytes;
  }
  evbuffer* body = evhttp_request_get_input_buffer(request);
  if (header_bytes > limits.header_bytes) {
    result.oversize = HttpOversize::Headers;
  } else if (evbuffer_get_length(body) > limits.body_bytes) {
    result.oversize = HttpOversize::Body;
  }
  if (result.oversize == HttpOversize::None) {
    result.http.body = takeAllBytes(body);
  } else {
    evbuffer_drain(body, evbuffer_get_length(body));
  }
  bufferevent* stream = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
  result.peer = remoteEndpoint(bufferevent_getfd(stream));
  return result;
}

}  // namespace

class HttpServer::Impl final : public HttpExchangeObserver {
 public:
  Impl(EventLoop& loop, const HttpServerLimits& limits, HttpHandler handler)
      : loop_(loop), limits_(limits), handler_(std::move(handler)), server_(evhttp_new(loop.base())) {
    const auto on_request = [](evhttp_request* request, void* self) { static_cast<Impl*>(self)->onRequest(request); };
    evhttp_set_gencb(server_.get(), on_request, this);
    evhttp_set_allowed_methods(server_.get(), kAllMethods);
    evhttp_set_default_content_type(server_.get(), nullptr);
    evhttp_set_max_headers_size(server_.get(), static_cast<ev_ssize_t>(limits.header_bytes * kHardLimitFactor));
    evhttp_set_max_body_size(server_.get(), static_cast<ev_ssize_t>(limits.body_bytes * kHardLimitFactor));
    // Reads the rest of an oversized body, so that the client receives the response and not a reset.
    evhttp_set_flags(server_.get(), EVHTTP_SERVER_LINGERING_CLOSE);
    const timeval idle = toTimeval(limits.idle_timeout);
    evhttp_set_timeout_tv(server_.get(), &idle);
  }

  ~Impl() override {
    for (HttpResponder::Exchange* exchange : pending_) {
      exchange->abandon();
    }
    for (const auto& [exchange, owned] : writing_) {
      owned->abandon();
    }
    // Freeing evhttp runs the close callbacks of the exchanges, which must still exist.
    server_.reset();
  }

  /// @return 0 on success, otherwise errno.
  int bind(const Endpoint& listen) {
    bound_ = evhttp_bind_socket_with_handle(server_.get(), listen.address.c_str(), listen.port);
    if (bound_ == nullptr) {
      return errno;
    }
    const evutil_socket_t socket = evhttp_bound_socket_get_fd(bound_);
    // Accepted sockets inherit the option.
    setNoDelay(socket);
    endpoint_ = localEndpoint(socket);
    return 0;
  }

  void drain(std::function<void()> done) {
    draining_ = true;
    drained_ = std::move(done);
    if (bound_ != nullptr) {
      evhttp_del_accept_socket(server_.get(), std::exchange(bound_, nullptr));
    }
    checkDrained();
  }

  void responseStarted(std::shared_ptr<HttpResponder::Exchange> exchange) override {
    pending_.erase(exchange.get());
    HttpResponder::Exchange* key = exchange.get();
    writing_.emplace(key, std::move(exchange));
  }

  void exchangeEnded(HttpResponder::Exchange& exchange) override {
    pending_.erase(&exchange);
    const auto written = writing_.extract(&exchange);
    checkDrained();
  }

  bool closesAfterResponse() const override { return draining_; }

  const Endpoint& endpoint() const { return endpoint_; }
  std::size_t inFlightRequests() const { return pending_.size(); }

 private:
  void onRequest(evhttp_request* request) {
    HttpServerRequest server_request = takeRequest(request, limits_);
    auto exchange = std::make_shared<HttpResponder::Exchange>(loop_, *this, request);
    pending_.insert(exchange.get());
    handler_(std::move(server_request), HttpResponder(std::move(exchange)));
  }

  void checkDrained() {
    if (draining_ && drained_ && pending_.empty() && writing_.empty()) {
      loop_.post(std::exchange(drained_, nullptr));
    }
  }

  EventLoop& loop_;
  HttpServerLimits limits_;
  HttpHandler handler_;
  EvhttpHandle server_;
  evhttp_bound_socket* bound_ = nullptr;
  Endpoint endpoint_;
  std::unordered_set<HttpResponder::Exchange*> pending_;
  std::unordered_map<HttpResponder::Exchange*, std::shared_ptr<HttpResponder::Exchange>> writing_;
  bool draining_ = false;
  std::function<void()> drained_;
};

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

HttpServer::~HttpServer() = default;

leaf::result<std::unique_ptr<HttpServer>> HttpServer::listen(EventLoop& loop, const Endpoint& listen,
                                                             const HttpServerLimits& limits, HttpHandler handler) {
  auto impl = std::make_unique<Impl>(loop, limits, std::move(handler));
  const int failure = impl->bind(listen);
  if (failure != 0) {
    return leaf::new_error(NetworkError{"listen for HTTP on " + toString(listen), failure});
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

const Endpoint& HttpServer::endpoint() const { return impl_->endpoint(); }

std::size_t HttpServer::inFlightRequests() const { return impl_->inFlightRequests(); }

void HttpServer::drain(std::function<void()> done) { impl_->drain(std::move(done)); }

}  // namespace shedlever
