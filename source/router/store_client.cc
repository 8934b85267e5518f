#include "source/router/store_client.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "source/core/http_syntax.h"
#include "source/core/router/duration_format.h"

namespace shedlever {

namespace {

constexpr std::size_t kCallConnections = 3;
/// More than the kinds watched: a replaced watch keeps its connection busy until it times out.
constexpr std::size_t kWatchConnections = 8;
constexpr std::size_t kCheckConnections = 2;
/// Memory for all answers together; an answer counts twice while it is received. Lists come in pages of about 1 MB.
constexpr std::size_t kMaxAnswerBytes = 32U << 20U;
/// How long calls go through peers without a direct attempt after a failed or refused direct call.
constexpr Duration kUsePeersPeriod = std::chrono::milliseconds(1500);
/// How long refused calls are not retried through peers after the store refused a peer as well.
constexpr Duration kAvoidPeersPeriod = std::chrono::milliseconds(1500);
constexpr int kServiceUnavailable = 503;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);
/// Ends watches whose connection was lost silently, long before the watch timeout.
constexpr Duration kDeadPeerTimeout = std::chrono::milliseconds(1500);

/// @return whether the store reports that it did not process the call.
bool isRefusal(const std::optional<HttpResponse>& response) {
  return response && response->status == kServiceUnavailable;
}

/// @return the name of the kind of call in logs and metrics.
const char* methodLabel(StoreConnection connection) { return connection == StoreConnection::Watch ? "watch" : "check"; }

/// @return the configuration with connections that are closed after each call.
HttpClientConfig withoutKeepAlive(HttpClientConfig config) {
  config.idle_timeout = Duration::zero();
  return config;
}

HttpClientConfig clientConfig(const Endpoint& store, std::size_t connections, MemoryBudget& answer_budget) {
  HttpClientConfig config;
  config.server = store;
  config.max_connections = connections;
  config.connect_timeout = kConnectTimeout;
  config.dead_peer_timeout = kDeadPeerTimeout;
  config.response_budget = &answer_budget;
  return config;
}

}  // namespace

StoreClient::StoreClient(EventLoop& loop, const Clock& clock, const Endpoint& store, PeerClient& peer_client,
                         EventLog& log, RouterMetrics& metrics)
    : loop_(loop),
      clock_(clock),
      peer_client_(peer_client),
      log_(log),
      metrics_(metrics),
      counts_(log_),
      answer_budget_(kMaxAnswerBytes),
      calls_(loop, clientConfig(store, kCallConnections, answer_budget_)),
      watches_(loop, clientConfig(store, kWatchConnections, answer_budget_)),
      checks_(loop, withoutKeepAlive(clientConfig(store, kCheckConnections, answer_budget_))) {}

HttpClient& StoreClient::clientFor(StoreConnection connection) {
  switch (connection) {
    case StoreConnection::Reused:
      break;
    case StoreConnection::Watch:
      return watches_;
    case StoreConnection::New:
      return checks_;
  }
  return calls_;
}

void StoreClient::callDirectly(StoreCall call, Callback done) {
  const std::string method =
      call.connection == StoreConnection::Reused ? call.request.method : methodLabel(call.connection);
  counts_.onCall(call.kind.empty() ? "peer" : call.kind, method, clock_.now());
  const auto on_end = [this, method, sent = clock_.now(), done = std::move(done)](HttpExchangeResult exchange) {
    const bool answered = exchange.status == HttpExchangeStatus::Complete;
    metrics_.onStoreCall(method, answered ? exchange.response.status : 0, clock_.now() - sent);
    if (answered != direct_calls_work_) {
      direct_calls_work_ = answered;
      log_.write("store", answered ? "regained" : "lost",
                 {{"method", method}, {"took_ms", formatMilliseconds(clock_.now() - sent)}});
    }
    done(answered ? std::optional<HttpResponse>(std::move(exchange.response)) : std::nullopt);
  };
  clientFor(call.connection).send(std::move(call.request), call.timeout, on_end);
}

void StoreClient::call(const StoreCall& call, Callback done) {
  if (call.connection != StoreConnection::Reused) {
    callDirectly(call, std::move(done));
    return;
  }
  if (clock_.now() < use_peers_until_) {
    callThroughPeer(call, std::move(done));
    return;
  }
  callDirectly(call, [this, call, done = std::move(done)](std::optional<HttpResponse> response) mutable {
    const bool retry_by_peer = !response || (isRefusal(response) && mayUsePeer());
    if (!retry_by_peer) {
      done(std::move(response));
      return;
    }
    use_peers_until_ = clock_.now() + kUsePeersPeriod;
    callThroughPeer(call, std::move(done));
  });
}

void StoreClient::callThroughPeer(const StoreCall& call, Callback done) {
  const std::vector<NodeName> peers = peer_client_.connectedNodes();
  if (peers.empty()) {
    loop_.post([done = std::move(done)] { done(std::nullopt); });
    return;
  }
  peer_client_.callStore(
      peers[next_peer_++ % peers.size()], call.request, call.timeout,
      [this, done = std::move(done)](std::optional<HttpResponse> response) {
        // Earlier builds pass broken responses on.
        if (response && !isValidHttpResponse(*response)) {
          log_.write("store", "broken-answer-by-peer", {{"status", std::to_string(response->status)}});
          response.reset();
        }
        if (isRefusal(response)) {
          use_peers_until_ = {};
          avoid_peers_until_ = clock_.now() + kAvoidPeersPeriod;
        }
        done(std::move(response));
      });
}

}  // namespace shedlever
