#include "source/net/http_client.h"

#include <algorithm>
#include <deque>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

#include "source/net/carried_identities.h"
#include "source/net/http_connection.h"
#include "source/net/http_headers.h"
#include "source/net/system_clock_and_random.h"

namespace shedlever {

namespace {

/// @return whether the text contains characters that could inject a header or a request.
bool hasLineBreakOrNul(std::string_view text) {
  constexpr std::string_view kForbidden("\r\n\0", 3);
  return text.find_first_of(kForbidden) != std::string_view::npos;
}

bool isToken(std::string_view text) {
  return !text.empty() && !hasLineBreakOrNul(text) && text.find_first_of(" \t:") == std::string_view::npos;
}

bool isValidRequest(const HttpRequest& request) {
  if (!isToken(request.method) || request.target.empty() || hasLineBreakOrNul(request.target) ||
      request.target.find(' ') != std::string::npos) {
    return false;
  }
  for (const HttpHeader& header : request.headers) {
    if (!isToken(header.name) || hasLineBreakOrNul(header.value)) {
      return false;
    }
  }
  return true;
}

/// @return request line, headers and the empty line.
std::string requestHead(const HttpRequest& request, const HttpClientConfig& config) {
  std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
  if (!config.preserve_host) {
    head += "Host: " + toString(config.server) + "\r\n";
  }
  for (const HttpHeader& header : request.headers) {
    if (!isFramingHeader(header.name) && (config.preserve_host || !sameHeaderName(header.name, "host")) &&
        !sameHeaderName(header.name, "expect")) {
      head += header.name + ": " + header.value + "\r\n";
    }
  }
  const bool bodyless = request.method == "GET" || request.method == "HEAD" || request.method == "TRACE";
  if (!request.body.empty() || !bodyless) {
    head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  head += "\r\n";
  return head;
}

}  // namespace

class HttpClient::Impl final : public HttpConnectionObserver {
 public:
  Impl(EventLoop& loop, HttpClientConfig config) : loop_(loop), config_(std::move(config)) {}

  ~Impl() override {
    for (const auto& [id, exchange] : exchanges_) {
      loop_.cancel(exchange.timer);
    }
    for (const auto& [connection, pooled] : connections_) {
      loop_.cancel(pooled.idle_timer);
    }
  }

  HttpExchangeId send(HttpRequest request, Duration timeout, HttpExchangeCallback done, HttpExchangeOptions options) {
    const HttpExchangeId id = ++last_id_;
    Exchange& exchange = exchanges_[id];
    exchange.done = std::move(done);
    exchange.options = std::move(options);
    exchange.timeout = timeout;
    if (!isValidRequest(request)) {
      postEnd(id, HttpExchangeStatus::NotSent);
      return id;
    }
    exchange.request = std::move(request);
    exchange.timer = loop_.runAfter(timeout, [this, id] { abandon(id, HttpExchangeStatus::TimedOut); });
    queue_.push_back(id);
    dispatch();
    return id;
  }

  void cancel(HttpExchangeId id) {
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end() || found->second.ending) {
      return;
    }
    const HttpExchangeStatus status = detach(found->second, HttpExchangeStatus::Cancelled);
    postEnd(id, status);
    dispatch();
  }

  void exchangeEnded(HttpConnection& connection, HttpExchangeResult exchange, bool reusable) override {
    Pooled& pooled = connections_.at(&connection);
    const HttpExchangeId id = std::exchange(pooled.exchange, 0);
    Exchange& ended = exchanges_.at(id);
    ended.connection = nullptr;
    const HttpResponseVerdict verdict = verdictOn(exchange, ended, pooled.reused);
    if (verdict == HttpResponseVerdict::Reject) {
      exchange = {HttpExchangeStatus::Malformed, {}};
    }
    const bool may_keep = reusable && !ended.options.alone && verdict == HttpResponseVerdict::Accept;
    if (may_keep && config_.idle_timeout > Duration::zero()) {
      carried_.add(ended.options.identity, pooled.serial, clock_.now() + ended.timeout);
      makeIdle(connection, pooled);
    } else {
      connections_.erase(&connection);
    }
    dispatch();
    finish(id, std::move(exchange));
  }

  void idleConnectionUnusable(HttpConnection& connection) override { close(connection); }

  bool hasSentBytes(HttpExchangeId id) const {
    const auto found = exchanges_.find(id);
    return found != exchanges_.end() && found->second.connection != nullptr && found->second.connection->hasSentBytes();
  }

  std::size_t openConnections() const { return connections_.size(); }

 private:
  struct Exchange {
    HttpRequest request;
    HttpExchangeCallback done;
    HttpExchangeOptions options;
    Duration timeout{};
    TimerId timer = 0;
    /// Null while the exchange waits for a connection.
    HttpConnection* connection = nullptr;
    /// The outcome is decided; the callback will run from the loop.
    bool ending = false;
  };

  struct Pooled {
    std::unique_ptr<HttpConnection> connection;
    ConnectionSerial serial = 0;
    /// It has carried an exchange before the current one.
    bool reused = false;
    /// 0 while idle.
    HttpExchangeId exchange = 0;
    TimerId idle_timer = 0;
  };

  static HttpResponseVerdict verdictOn(const HttpExchangeResult& result, const Exchange& exchange, bool reused) {
    if (result.status != HttpExchangeStatus::Complete || !exchange.options.validator) {
      return HttpResponseVerdict::Accept;
    }
    return exchange.options.validator(result.response, reused);
  }

  void dispatch() {
    while (!queue_.empty()) {
      const HttpExchangeId id = queue_.front();
      const auto found = exchanges_.find(id);
      if (found == exchanges_.end() || found->second.ending) {
        queue_.pop_front();
        continue;
      }
      Pooled* pooled = takeConnection(found->second.options);
      if (pooled == nullptr) {
        return;
      }
      queue_.pop_front();
      pooled->exchange = id;
      found->second.connection = pooled->connection.get();
      HttpRequest request = std::move(found->second.request);
      // Must run before the body is moved, because the head contains its length.
      std::string head = requestHead(request, config_);
      pooled->connection->start(std::move(head), std::move(request.body), request.method == "HEAD");
    }
  }

  /// @return an idle or a new connection that suits the options; null when all connections are in use.
  Pooled* takeConnection(const HttpExchangeOptions& options) {
    const std::vector<ConnectionSerial> carried_by = carried_.connectionsOf(options.identity, clock_.now());
    Pooled* idle = options.alone ? nullptr : takeIdle(carried_by);
    if (idle != nullptr) {
      return idle;
    }
    if (connections_.size() >= config_.max_connections) {
      if (idle_.empty()) {
        return nullptr;
      }
      close(*idle_.front());
    }
    auto connection = std::make_unique<HttpConnection>(loop_, config_, *this);
    Pooled& pooled = connections_[connection.get()];
    pooled.connection = std::move(connection);
    pooled.serial = ++last_serial_;
    return &pooled;
  }

  /// @return the idle connection that was used last, other than these; null if there is none.
  Pooled* takeIdle(const std::vector<ConnectionSerial>& excluded) {
    for (std::size_t left = idle_.size(); left > 0; --left) {
      HttpConnection* connection = idle_[left - 1];
      Pooled& pooled = connections_.at(connection);
      if (!connection->appearsOpen()) {
        close(*connection);
      } else if (std::find(excluded.begin(), excluded.end(), pooled.serial) == excluded.end()) {
        std::erase(idle_, connection);
        loop_.cancel(std::exchange(pooled.idle_timer, 0));
        return &pooled;
      }
    }
    return nullptr;
  }

  void makeIdle(HttpConnection& connection, Pooled& pooled) {
    pooled.reused = true;
    idle_.push_back(&connection);
    const Duration idle_timeout = std::min(config_.idle_timeout, connection.keepAliveTimeout());
    pooled.idle_timer = loop_.runAfter(idle_timeout, [this, &connection] { close(connection); });
  }

  void close(HttpConnection& connection) {
    const auto found = connections_.find(&connection);
    loop_.cancel(found->second.idle_timer);
    std::erase(idle_, &connection);
    connections_.erase(found);
  }

  /// Detaches an exchange from its connection and closes the connection.
  /// @return `status`, or NotSent when no byte of the request was written.
  HttpExchangeStatus detach(Exchange& exchange, HttpExchangeStatus status) {
    if (exchange.connection == nullptr) {
      return HttpExchangeStatus::NotSent;
    }
    HttpConnection& connection = *std::exchange(exchange.connection, nullptr);
    const bool sent = connection.hasSentBytes();
    close(connection);
    return sent ? status : HttpExchangeStatus::NotSent;
  }

  void abandon(HttpExchangeId id, HttpExchangeStatus status) {
    const HttpExchangeStatus final_status = detach(exchanges_.at(id), status);
    dispatchWithout(id);
    finish(id, {final_status, {}});
  }

  void dispatchWithout(HttpExchangeId id) {
    exchanges_.at(id).ending = true;
    dispatch();
  }

  void postEnd(HttpExchangeId id, HttpExchangeStatus status) {
    Exchange& exchange = exchanges_.at(id);
    exchange.ending = true;
    loop_.cancel(exchange.timer);
    exchange.timer = loop_.runAfter(Duration::zero(), [this, id, status] { finish(id, {status, {}}); });
  }

  /// Must be the last call in every path, because the callback may destroy this client.
  void finish(HttpExchangeId id, HttpExchangeResult result) {
    auto node = exchanges_.extract(id);
    loop_.cancel(node.mapped().timer);
    node.mapped().done(std::move(result));
  }

  EventLoop& loop_;
  HttpClientConfig config_;
  BootTimeClock clock_;
  HttpExchangeId last_id_ = 0;
  ConnectionSerial last_serial_ = 0;
  CarriedIdentities carried_;
  std::unordered_map<HttpExchangeId, Exchange> exchanges_;
  std::deque<HttpExchangeId> queue_;
  std::unordered_map<HttpConnection*, Pooled> connections_;
  /// Last in, first out, so that unneeded connections reach their idle timeout.
  std::vector<HttpConnection*> idle_;
};

HttpClient::HttpClient(EventLoop& loop, HttpClientConfig config)
    : impl_(std::make_unique<Impl>(loop, std::move(config))) {}

HttpClient::~HttpClient() = default;

HttpExchangeId HttpClient::send(HttpRequest request, Duration timeout, HttpExchangeCallback done,
                                HttpExchangeOptions options) {
  return impl_->send(std::move(request), timeout, std::move(done), std::move(options));
}

bool HttpClient::hasSentBytes(HttpExchangeId exchange) const { return impl_->hasSentBytes(exchange); }

void HttpClient::cancel(HttpExchangeId exchange) { impl_->cancel(exchange); }

std::size_t HttpClient::openConnections() const { return impl_->openConnections(); }

}  // namespace shedlever
