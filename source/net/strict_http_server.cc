#include "source/net/strict_http_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "source/net/event_buffers.h"
#include "source/net/http_headers.h"
#include "source/net/http_request_parser.h"
#include "source/net/socket_address.h"
#include "source/net/tcp_listener.h"

namespace shedlever {

namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kUnavailable = 503;
/// Seconds after which a client may send a body again for which there was no memory.
constexpr const char* kMemoryRetryAfter = "1";
/// A growing string is copied to one of twice its size.
constexpr std::size_t kCopiesWhileReceived = 2;
/// The gateway's copy of a request and the one that is on its way to a server.
constexpr std::size_t kCopiesWhileRunning = 2;
constexpr std::size_t kMaxCopies = std::max(kCopiesWhileReceived, kCopiesWhileRunning);
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
/// Limit for pipelined input that is read while a response is pending.
constexpr std::size_t kMaxReadAheadBytes = 256U << 10U;
/// Limit for the requests of one connection without a written response.
constexpr std::size_t kMaxPipelinedRequests = 64;
/// No further request is passed on while this many bytes of responses wait for an earlier response.
constexpr std::size_t kMaxReadyBytes = 256U << 10U;
/// How long a connection waits for the client to close after the server has shut down writing.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);

const char* reasonPhrase(int status) { return http_status_str(static_cast<http_status>(status)); }

timeval toTimeval(Duration duration) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
  timeval value{};
  value.tv_sec = seconds.count();
  value.tv_usec = (duration - seconds).count();
  return value;
}

}  // namespace

struct StrictHttpServer::State {
  explicit State(EventLoop& event_loop) : loop(event_loop) {}

  EventLoop& loop;
  StrictHttpLimits limits;
  StrictHttpHandler handler;
  MayRunAhead may_run_ahead;
  std::function<void(int status)> on_rejected;
  std::unique_ptr<TcpListener> listener;
  std::unordered_map<StrictHttpConnection*, std::shared_ptr<StrictHttpConnection>> connections;
  bool close_after_responses = false;
  std::size_t in_flight = 0;
  LinkPacer* pacer = nullptr;
  MemoryBudget* body_budget = nullptr;

  MemoryCharge newCharge() const { return body_budget == nullptr ? MemoryCharge() : MemoryCharge(*body_budget); }
  /// @return the limit for a body: that of the configuration, or what the budget could ever hold.
  std::size_t bodyLimit() const {
    const std::size_t affordable = body_budget == nullptr ? limits.body_bytes : body_budget->capacity() / kMaxCopies;
    return std::min(limits.body_bytes, affordable);
  }
  /// Refuses the largest bodies that are not complete until the budget has room for so many more bytes.
  /// @return whether it has.
  bool makeRoomFor(std::size_t bytes);
};

/// One client connection.
class StrictHttpConnection : public std::enable_shared_from_this<StrictHttpConnection> {
 public:
  StrictHttpConnection(StrictHttpServer::State& server, evutil_socket_t socket)
      : server_(server), stream_(bufferevent_socket_new(server.loop.base(), socket, BEV_OPT_CLOSE_ON_FREE)) {
    receiving_ = server.newCharge();
    bufferevent_setcb(stream_.get(), onRead, onWritten, onEvent, this);
    bufferevent_setwatermark(stream_.get(), EV_READ, 0, kMaxReadAheadBytes);
    startRequest();
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
  }

  ~StrictHttpConnection() {
    if (transfer_ != 0) {
      server_.pacer->cancel(transfer_);
    }
  }
  StrictHttpConnection(const StrictHttpConnection&) = delete;
  StrictHttpConnection& operator=(const StrictHttpConnection&) = delete;

  void reply(PipelinedExchanges::Number number, HttpResponse response) {
    if (exchanges_.setResponse(number, std::move(response))) {
      running_.erase(number);
      --server_.in_flight;
      writeReady();
    }
  }

  void abort(PipelinedExchanges::Number number) {
    if (exchanges_.isPending(number)) {
      exchanges_.setDisconnectCallback(number, {});
      connectionClosed();
    }
  }

  void onDisconnect(PipelinedExchanges::Number number, std::function<void()> callback) {
    exchanges_.setDisconnectCallback(number, std::move(callback));
  }

  bool idle() const {
    return exchanges_.empty() && !held_ && !closing_ && !in_request_ && !sending_ && !hasUnreadInput() &&
           evbuffer_get_length(bufferevent_get_input(stream_.get())) == 0 &&
           evbuffer_get_length(bufferevent_get_output(stream_.get())) == 0;
  }

  bool busy() const {
    return !exchanges_.empty() || held_ || closing_ || sending_ || hasUnreadInput() ||
           evbuffer_get_length(bufferevent_get_output(stream_.get())) > 0;
  }

  /// @return the number of requests without a response.
  std::size_t pending() const { return exchanges_.pending(); }

  /// @return what the incomplete body is charged, in bytes.
  std::size_t receivingBytes() const { return receiving_.bytes(); }

  /// Refuses the incomplete request, whose body takes memory that others need.
  void refuseForMemory() { rejectRequest(kUnavailable); }

  void remove() {
    removed_ = true;
    server_.connections.erase(this);
  }

 private:
  /// @return whether a response to an earlier request is not written yet.
  bool hasEarlierResponse() const { return !exchanges_.empty() || sending_; }

  /// A complete request that must not run before the earlier ones have their responses.
  struct HeldRequest {
    HttpRequest request;
    bool keeps_connection = true;
    MemoryCharge charge;
  };

  static void onRead(bufferevent*, void* argument) {
    const auto self = static_cast<StrictHttpConnection*>(argument)->shared_from_this();
    self->readRequest();
  }

  static void onWritten(bufferevent*, void* argument) {
    const auto self = static_cast<StrictHttpConnection*>(argument)->shared_from_this();
    if (self->closing_) {
      self->finishClosing();
    }
  }

  static void onEvent(bufferevent*, short events, void* argument) {
    const auto self = static_cast<StrictHttpConnection*>(argument)->shared_from_this();
    if ((events & BEV_EVENT_TIMEOUT) != 0 && (events & BEV_EVENT_READING) != 0) {
      self->timedOut();
      return;
    }
    self->connectionClosed();
  }

  /// Bytes of a request have arrived that the event loop has not read yet.
  bool hasUnreadInput() const { return unreadBytes(bufferevent_getfd(stream_.get())) > 0; }

  void startRequest() {
    parser_.emplace(server_.limits.header_bytes, server_.bodyLimit());
    ++parsed_number_;
    in_request_ = false;
    headers_received_ = false;
    if (!hasEarlierResponse()) {
      setReadTimeout(server_.limits.idle_timeout);
    }
  }

  void setReadTimeout(Duration timeout) {
    const timeval value = toTimeval(timeout);
    bufferevent_set_timeouts(stream_.get(), &value, nullptr);
  }

  void readRequest() {
    if (closing_) {
      evbuffer* input = bufferevent_get_input(stream_.get());
      evbuffer_drain(input, evbuffer_get_length(input));
      return;
    }
    while (mayParse() && parseRequest()) {
    }
  }

  /// @return whether the next request may be taken from the input.
  bool mayParse() const {
    if (removed_ || closing_ || last_request_parsed_ || held_) {
      return false;
    }
    const bool has_room = exchanges_.size() < kMaxPipelinedRequests && exchanges_.readyBytes() < kMaxReadyBytes;
    return !hasEarlierResponse() || (server_.may_run_ahead && has_room && !server_.close_after_responses);
  }

  /// @return whether a request was complete, so that the next one may follow.
  bool parseRequest() {
    const HttpRequestParseStatus status = parser_->consume(bufferevent_get_input(stream_.get()));
    receiving_.setBody(parser_->bodyBytes(), kCopiesWhileReceived);
    // May refuse this request as well, if its body is the largest.
    if (receiving_.bytes() > 0 && !server_.makeRoomFor(0)) {
      return false;
    }
    if (last_request_parsed_) {
      return false;
    }
    switch (status) {
      case HttpRequestParseStatus::Empty:
        return false;
      case HttpRequestParseStatus::InHeaders:
        if (!in_request_) {
          in_request_ = true;
          startHeaderTimer();
        }
        return false;
      case HttpRequestParseStatus::InBody:
        headersReceived();
        return false;
      case HttpRequestParseStatus::Complete:
        headersReceived();
        takeRequest();
        return true;
      case HttpRequestParseStatus::Invalid:
        rejectRequest(kBadRequest);
        return false;
      case HttpRequestParseStatus::HeadersTooLarge:
        rejectRequest(kHeadersTooLarge);
        return false;
      case HttpRequestParseStatus::BodyTooLarge:
        rejectRequest(kBodyTooLarge);
        return false;
    }
    return false;
  }

  /// Limits the total time for the headers, so that a slow client can't hold the connection.
  void startHeaderTimer() {
    server_.loop.runAfter(server_.limits.header_timeout, [weak = weak_from_this(), number = parsed_number_] {
      const auto self = weak.lock();
      if (self && self->parsed_number_ == number && self->in_request_ && !self->headers_received_ && !self->closing_) {
        self->rejectRequest(kRequestTimeout);
      }
    });
  }

  void headersReceived() {
    in_request_ = true;
    headers_received_ = true;
    // The interim response must not overtake the responses to earlier requests.
    if (!hasEarlierResponse() && parser_->takeExpectsContinue()) {
      constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
      evbuffer_add(bufferevent_get_output(stream_.get()), kContinue.data(), kContinue.size());
      flushOutput(stream_.get());
    }
  }

  void takeRequest() {
    receiving_.setBody(0, kCopiesWhileReceived);
    const std::size_t cost = MemoryCharge::costOf(parser_->bodyBytes(), kCopiesWhileRunning);
    if (server_.body_budget != nullptr && cost > 0 && !server_.makeRoomFor(cost)) {
      rejectRequest(kUnavailable);
      return;
    }
    HeldRequest taken{parser_->takeRequest(), parser_->keepsConnection(), server_.newCharge()};
    taken.charge.setBody(taken.request.body.size(), kCopiesWhileRunning);
    last_request_parsed_ = !taken.keeps_connection;
    startRequest();
    if (!hasEarlierResponse() || (!runs_alone_ && server_.may_run_ahead(taken.request))) {
      dispatch(std::move(taken));
    } else {
      held_ = std::move(taken);
    }
  }

  void dispatch(HeldRequest taken) {
    bufferevent_set_timeouts(stream_.get(), nullptr, nullptr);
    const auto number = exchanges_.add(taken.request.method == "HEAD", taken.keeps_connection);
    runs_alone_ = !server_.may_run_ahead || !server_.may_run_ahead(taken.request);
    ++server_.in_flight;
    if (taken.charge.bytes() > 0) {
      running_.emplace(number, std::move(taken.charge));
    }
    server_.handler(std::move(taken.request), StrictHttpResponder(weak_from_this(), number));
  }

  /// Writes the responses that are ready, up to the first one that is not.
  void writeReady() {
    while (!sending_ && !closing_ && exchanges_.ready() != nullptr) {
      // A stopping server still responds to the requests that it has passed to the handler.
      const bool closes = server_.close_after_responses && exchanges_.size() == 1;
      PipelinedExchanges::Exchange exchange = exchanges_.takeReady();
      const bool keep = exchange.keeps_connection && !closes;
      if (isPaced(exchange)) {
        writePaced(std::move(*exchange.response), keep);
        return;
      }
      write(std::move(*exchange.response), keep, exchange.is_head);
      responseWritten(keep);
    }
  }

  /// Called when a response is written or in the output buffer.
  void responseWritten(bool keep) {
    if (!keep) {
      closing_ = true;
      finishClosing();
      return;
    }
    if (!hasEarlierResponse() && !held_) {
      setReadTimeout(server_.limits.idle_timeout);
    }
    // The next request may already be here. Its handler must not run inside this call.
    if (held_ || in_request_ || evbuffer_get_length(bufferevent_get_input(stream_.get())) > 0) {
      server_.loop.post([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->continueReading();
        }
      });
    }
  }

  void continueReading() {
    if (held_ && !hasEarlierResponse() && !closing_) {
      dispatch(*std::exchange(held_, std::nullopt));
    }
    readRequest();
  }

  bool isPaced(const PipelinedExchanges::Exchange& exchange) const {
    return server_.pacer != nullptr && server_.pacer->isLimited() && !exchange.is_head &&
           exchange.response->body.size() >= kMinPacedMessageBytes;
  }

  /// Writes the head immediately and the body in pieces. The next response follows after the last piece.
  void writePaced(HttpResponse response, bool keep) {
    sending_ = true;
    body_ = std::move(response.body);
    body_written_ = 0;
    const std::string head = responseHead(response, body_.size(), keep);
    evbuffer_add(bufferevent_get_output(stream_.get()), head.data(), head.size());
    const auto writer = [weak = weak_from_this(), keep](std::size_t max_bytes) {
      const auto self = weak.lock();
      return self ? self->writePiece(max_bytes, keep) : 0;
    };
    const TransferId transfer = server_.pacer->start(body_.size(), writer);
    transfer_ = body_.empty() ? 0 : transfer;
  }

  std::size_t writePiece(std::size_t max_bytes, bool keep) {
    const std::size_t size = std::min(max_bytes, body_.size() - body_written_);
    evbuffer_add(bufferevent_get_output(stream_.get()), body_.data() + body_written_, size);
    flushOutput(stream_.get());
    body_written_ += size;
    if (body_written_ == body_.size()) {
      transfer_ = 0;
      body_ = {};
      // Not inside the pacer's call, because responseWritten may close this connection or start the next response.
      server_.loop.post([weak = weak_from_this(), keep] {
        if (const auto self = weak.lock()) {
          self->sending_ = false;
          self->responseWritten(keep);
          self->writeReady();
        }
      });
    }
    return size;
  }

  static std::string responseHead(const HttpResponse& response, std::size_t body_size, bool keep) {
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + " " + reasonPhrase(response.status) + "\r\n";
    for (const HttpHeader& header : response.headers) {
      if (!isFramingHeader(header.name)) {
        head.append(header.name).append(": ").append(header.value).append("\r\n");
      }
    }
    if (response.status != kNoContent && response.status != kNotModified) {
      head += "Content-Length: " + std::to_string(body_size) + "\r\n";
    }
    head += keep ? "\r\n" : "Connection: close\r\n\r\n";
    return head;
  }

  void write(HttpResponse response, bool keep, bool is_head) {
    std::string head = responseHead(response, response.body.size(), keep);
    if (server_.pacer != nullptr) {
      server_.pacer->recordSent(head.size() + response.body.size());
    }
    evbuffer* output = bufferevent_get_output(stream_.get());
    appendBytes(output, std::move(head));
    if (!is_head) {
      appendBytes(output, std::move(response.body));
    }
    flushOutput(stream_.get());
  }

  /// Responds to an invalid request without calling the handler, after the responses to earlier requests, and stops
  /// reading.
  void rejectRequest(int status) {
    if (server_.on_rejected) {
      server_.on_rejected(status);
    }
    last_request_parsed_ = true;
    // Frees what was received of the body.
    parser_.emplace(server_.limits.header_bytes, server_.bodyLimit());
    receiving_.setBody(0, kCopiesWhileReceived);
    HttpResponse response{status, {}, {}};
    if (status == kUnavailable) {
      response.headers.push_back({"Retry-After", kMemoryRetryAfter});
    }
    const auto number = exchanges_.add(false, false);
    exchanges_.setResponse(number, std::move(response));
    writeReady();
  }

  void timedOut() {
    if (in_request_ && !hasEarlierResponse() && !closing_) {
      rejectRequest(kRequestTimeout);
    } else {
      remove();
    }
  }

  void connectionClosed() {
    server_.in_flight -= exchanges_.pending();
    for (PipelinedExchanges::DisconnectCallback& callback : exchanges_.clear()) {
      server_.loop.post(std::move(callback));
    }
    remove();
  }

  /// After the output is written, shuts down writing and waits for the client to close. Closing a socket with unread
  /// input would reset the connection and could discard the response.
  void finishClosing() {
    if (evbuffer_get_length(bufferevent_get_output(stream_.get())) > 0) {
      return;
    }
    shutdown(bufferevent_getfd(stream_.get()), SHUT_WR);
    // Input at its limit would keep reading suspended, and with it the notice of the client's end.
    evbuffer* input = bufferevent_get_input(stream_.get());
    evbuffer_drain(input, evbuffer_get_length(input));
    setReadTimeout(kLingerTimeout);
  }

  StrictHttpServer::State& server_;
  BufferEventHandle stream_;
  std::optional<HttpRequestParser> parser_;
  PipelinedExchanges exchanges_;
  std::optional<HeldRequest> held_;
  /// For the body that is being received.
  MemoryCharge receiving_;
  /// For the bodies of the requests without a response.
  std::unordered_map<PipelinedExchanges::Number, MemoryCharge> running_;
  /// The last request that was passed on may not run beside others, so that later ones wait for its response.
  bool runs_alone_ = false;
  /// Counts the requests that were parsed or are being parsed.
  std::uint64_t parsed_number_ = 0;
  /// At least one byte of a request was received.
  bool in_request_ = false;
  bool headers_received_ = false;
  /// No further request is read: the last one was invalid or closes the connection.
  bool last_request_parsed_ = false;
  bool closing_ = false;
  bool removed_ = false;
  /// A large response is being written in pieces.
  bool sending_ = false;
  TransferId transfer_ = 0;
  std::string body_;
  std::size_t body_written_ = 0;
};

bool StrictHttpServer::State::makeRoomFor(std::size_t bytes) {
  while (!body_budget->hasRoomFor(bytes)) {
    const auto largest = std::max_element(connections.begin(), connections.end(), [](const auto& a, const auto& b) {
      return a.second->receivingBytes() < b.second->receivingBytes();
    });
    if (largest == connections.end() || largest->second->receivingBytes() == 0) {
      return false;
    }
    // Refusing may close the connection, which removes it from the table.
    const std::shared_ptr<StrictHttpConnection> refused = largest->second;
    refused->refuseForMemory();
  }
  return true;
}

void StrictHttpResponder::reply(HttpResponse response) const {
  if (const auto connection = connection_.lock()) {
    connection->reply(request_number_, std::move(response));
  }
}

void StrictHttpResponder::abort() const {
  if (const auto connection = connection_.lock()) {
    connection->abort(request_number_);
  }
}

void StrictHttpResponder::onDisconnect(std::function<void()> callback) const {
  if (const auto connection = connection_.lock()) {
    connection->onDisconnect(request_number_, std::move(callback));
  }
}

StrictHttpServer::StrictHttpServer(std::shared_ptr<State> state) : state_(std::move(state)) {}

StrictHttpServer::~StrictHttpServer() { state_->connections.clear(); }

leaf::result<std::unique_ptr<StrictHttpServer>> StrictHttpServer::listen(EventLoop& loop, const Endpoint& listen,
                                                                         const StrictHttpLimits& limits,
                                                                         StrictHttpHandler handler, LinkPacer* pacer) {
  auto state = std::make_shared<State>(loop);
  state->limits = limits;
  state->handler = std::move(handler);
  state->pacer = pacer;
  const auto accepted = [raw = state.get()](evutil_socket_t socket, const Endpoint&) {
    auto connection = std::make_shared<StrictHttpConnection>(*raw, socket);
    raw->connections.emplace(connection.get(), connection);
  };
  BOOST_LEAF_AUTO(listener, TcpListener::open(loop, listen, accepted));
  state->listener = std::move(listener);
  return std::unique_ptr<StrictHttpServer>(new StrictHttpServer(std::move(state)));
}

const Endpoint& StrictHttpServer::endpoint() const { return state_->listener->endpoint(); }

void StrictHttpServer::setLimits(const StrictHttpLimits& limits) { state_->limits = limits; }

void StrictHttpServer::setMayRunAhead(MayRunAhead may_run_ahead) { state_->may_run_ahead = std::move(may_run_ahead); }

void StrictHttpServer::setBodyBudget(MemoryBudget& budget) { state_->body_budget = &budget; }

void StrictHttpServer::onRejected(std::function<void(int status)> callback) {
  state_->on_rejected = std::move(callback);
}

void StrictHttpServer::closeAfterResponses() { state_->close_after_responses = true; }

void StrictHttpServer::closeIdleConnections() {
  std::vector<StrictHttpConnection*> idle;
  for (const auto& [raw, connection] : state_->connections) {
    if (raw->idle()) {
      idle.push_back(raw);
    }
  }
  for (StrictHttpConnection* connection : idle) {
    connection->remove();
  }
}

std::size_t StrictHttpServer::busyConnections() const {
  return static_cast<std::size_t>(std::count_if(state_->connections.begin(), state_->connections.end(),
                                                [](const auto& entry) { return entry.first->busy(); }));
}

std::size_t StrictHttpServer::inFlightRequests() const { return state_->in_flight; }

}  // namespace shedlever
