#include "source/net/http_connection.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "source/net/event_buffers.h"
#include "source/net/socket_address.h"

namespace shedlever {

namespace {

/// A growing string is copied to one of twice its size.
constexpr std::size_t kCopiesWhileReceived = 2;

}  // namespace

HttpConnection::HttpConnection(EventLoop& loop, const HttpClientConfig& config, HttpConnectionObserver& observer)
    : loop_(loop),
      config_(config),
      observer_(observer),
      stream_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
  if (config_.response_budget != nullptr) {
    charge_ = MemoryCharge(*config_.response_budget);
  }
  connect();
}

HttpConnection::~HttpConnection() { loop_.cancel(connect_timer_); }

void HttpConnection::connect() {
  bufferevent_setcb(stream_.get(), onRead, nullptr, onEvent, this);
  const std::optional<SocketAddress> address = toSocketAddress(config_.server);
  const bool started = address && bufferevent_socket_connect(stream_.get(), const_cast<sockaddr*>(address->get()),
                                                             static_cast<int>(address->length)) == 0;
  // An immediate failure is reported from the loop too, never inside the caller's call.
  connect_timer_ =
      loop_.runAfter(started ? config_.connect_timeout : Duration::zero(), [this] { connectionClosed(false, false); });
}

void HttpConnection::connected() {
  loop_.cancel(std::exchange(connect_timer_, 0));
  connected_ = true;
  const evutil_socket_t socket = bufferevent_getfd(stream_.get());
  setNoDelay(socket);
  if (config_.dead_peer_timeout > Duration::zero()) {
    setDeadPeerTimeout(socket, config_.dead_peer_timeout);
  }
  bufferevent_enable(stream_.get(), EV_READ);
  if (exchange_active_) {
    writeRequest();
  }
}

void HttpConnection::start(std::string head, std::string body, bool is_head) {
  exchange_active_ = true;
  request_bytes_ = head.size() + body.size();
  head_ = std::move(head);
  body_ = std::move(body);
  parser_.emplace(config_.max_header_bytes, config_.max_body_bytes, is_head, config_.allow_close_delimited);
  if (connected_) {
    writeRequest();
  }
}

void HttpConnection::writeRequest() {
  evbuffer* output = bufferevent_get_output(stream_.get());
  appendBytes(output, std::move(head_));
  appendBytes(output, std::move(body_));
  flushOutput(stream_.get());
}

bool HttpConnection::hasSentBytes() const {
  return exchange_active_ && connected_ && evbuffer_get_length(bufferevent_get_output(stream_.get())) < request_bytes_;
}

bool HttpConnection::appearsOpen() const {
  char byte = 0;
  const ssize_t peeked = recv(bufferevent_getfd(stream_.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpConnection::onRead(bufferevent*, void* argument) { static_cast<HttpConnection*>(argument)->readResponse(); }

void HttpConnection::onEvent(bufferevent*, short events, void* argument) {
  auto* self = static_cast<HttpConnection*>(argument);
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    self->connected();
  } else {
    const bool refused = !self->connected_ && EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
    self->connectionClosed((events & BEV_EVENT_EOF) != 0, refused);
  }
}

void HttpConnection::readResponse() {
  if (!exchange_active_) {
    observer_.idleConnectionUnusable(*this);
    return;
  }
  evbuffer* input = bufferevent_get_input(stream_.get());
  const HttpResponseParseStatus progress = parser_->consume(input);
  charge_.setBody(parser_->bodyBytes(), kCopiesWhileReceived);
  const bool over_budget = charge_.bytes() > 0 && config_.response_budget->exceeded();
  if (progress == HttpResponseParseStatus::Invalid || over_budget) {
    endExchange({HttpExchangeStatus::Malformed, {}}, false);
  } else if (progress == HttpResponseParseStatus::Complete) {
    const bool all_sent = evbuffer_get_length(bufferevent_get_output(stream_.get())) == 0;
    const bool has_trailing_bytes = evbuffer_get_length(input) > 0;
    keep_alive_ = parser_->keepAliveTimeout();
    endExchange({HttpExchangeStatus::Complete, parser_->takeResponse()},
                parser_->keepsConnection() && all_sent && !has_trailing_bytes);
  }
}

void HttpConnection::connectionClosed(bool orderly, bool refused) {
  loop_.cancel(std::exchange(connect_timer_, 0));
  if (!exchange_active_) {
    observer_.idleConnectionUnusable(*this);
  } else if (orderly && parser_->completesOnClose()) {
    endExchange({HttpExchangeStatus::Complete, parser_->takeResponse()}, false);
  } else if (parser_->hasStarted()) {
    endExchange({HttpExchangeStatus::Malformed, {}}, false);
  } else {
    endExchange({hasSentBytes() ? HttpExchangeStatus::ConnectionLost : HttpExchangeStatus::NotSent, {}, refused},
                false);
  }
}

void HttpConnection::endExchange(HttpExchangeResult exchange, bool reusable) {
  exchange_active_ = false;
  charge_.setBody(0, kCopiesWhileReceived);
  observer_.exchangeEnded(*this, std::move(exchange), reusable);
}

}  // namespace shedlever
