#include "source/net/http_server_exchange.h"

#include <utility>

#include "source/net/event_buffers.h"
#include "source/net/http_headers.h"

namespace shedlever {

namespace {

constexpr int kStatusInternalError = 500;

}  // namespace

HttpResponder::Exchange::Exchange(EventLoop& loop, HttpExchangeObserver& observer, evhttp_request* request)
    : loop_(loop), observer_(&observer), request_(request) {
  watchConnection();
}

HttpResponder::Exchange::~Exchange() {
  if (observer_ == nullptr || request_ == nullptr) {
    return;
  }
  // No callback may reach this exchange after its destruction.
  evhttp_connection_set_closecb(evhttp_request_get_connection(request_), nullptr, nullptr);
  closed_event_.reset();
  evhttp_send_reply(std::exchange(request_, nullptr), kStatusInternalError, nullptr, nullptr);
  observer_->exchangeEnded(*this);
}

void HttpResponder::Exchange::watchConnection() {
  evhttp_connection* connection = evhttp_request_get_connection(request_);
  const auto closing = [](evhttp_connection*, void* argument) { static_cast<Exchange*>(argument)->ended(); };
  evhttp_connection_set_closecb(connection, closing, this);
  const auto closed = [](evutil_socket_t, short, void* argument) {
    static_cast<Exchange*>(argument)->clientDisconnected();
  };
  const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  closed_event_.reset(event_new(loop_.base(), socket, EV_CLOSED, closed, this));
  event_add(closed_event_.get(), nullptr);
}

void HttpResponder::Exchange::reply(HttpResponse response) {
  if (observer_ == nullptr || request_ == nullptr) {
    return;
  }
  closed_event_.reset();
  on_disconnect_ = nullptr;
  observer_->responseStarted(shared_from_this());
  write(std::move(response));
}

void HttpResponder::Exchange::write(HttpResponse response) {
  evhttp_request* request = std::exchange(request_, nullptr);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  for (const HttpHeader& header : response.headers) {
    if (!isFramingHeader(header.name)) {
      evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    }
  }
  if (observer_->closesAfterResponse()) {
    evhttp_add_header(headers, "Connection", "close");
  }
  evbuffer* body = evhttp_request_get_output_buffer(request);
  if (evhttp_request_get_command(request) == EVHTTP_REQ_HEAD) {
    evhttp_add_header(headers, "Content-Length", std::to_string(response.body.size()).c_str());
  } else {
    appendBytes(body, std::move(response.body));
  }
  const auto written = [](evhttp_request* completed, void* argument) {
    // Without this, a later close of the reused connection would call this exchange.
    evhttp_connection_set_closecb(evhttp_request_get_connection(completed), nullptr, nullptr);
    static_cast<Exchange*>(argument)->ended();
  };
  evhttp_request_set_on_complete_cb(request, written, this);
  evhttp_send_reply(request, response.status, nullptr, nullptr);
}

void HttpResponder::Exchange::ended() {
  request_ = nullptr;
  closed_event_.reset();
  if (observer_ != nullptr) {
    // May drop the last reference to this exchange.
    std::exchange(observer_, nullptr)->exchangeEnded(*this);
  }
}

void HttpResponder::Exchange::clientDisconnected() {
  const std::shared_ptr<Exchange> self = shared_from_this();
  evhttp_connection* connection = evhttp_request_get_connection(request_);
  evhttp_connection_set_closecb(connection, nullptr, nullptr);
  evhttp_connection_free(connection);
  ended();
  const std::function<void()> callback = std::exchange(on_disconnect_, nullptr);
  if (callback) {
    callback();
  }
}

void HttpResponder::Exchange::setDisconnectCallback(std::function<void()> callback) {
  if (isOpen()) {
    on_disconnect_ = std::move(callback);
  }
}

void HttpResponder::Exchange::abandon() {
  observer_ = nullptr;
  request_ = nullptr;
  closed_event_.reset();
  on_disconnect_ = nullptr;
}

HttpResponder::HttpResponder(std::shared_ptr<Exchange> exchange) : exchange_(std::move(exchange)) {}

void HttpResponder::reply(HttpResponse response) { exchange_->reply(std::move(response)); }

void HttpResponder::onDisconnect(std::function<void()> callback) {
  exchange_->setDisconnectCallback(std::move(callback));
}

bool HttpResponder::isOpen() const { return exchange_->isOpen(); }

}  // namespace shedlever
