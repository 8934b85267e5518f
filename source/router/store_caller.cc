#include "source/router/store_caller.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "source/core/router/duration_text.h"

namespace shedlever {

namespace {

/// Calls that wait longer are watches; they have connections of their own and no detour.
constexpr Duration kLongestCall = std::chrono::seconds(5);
constexpr std::size_t kCallConnections = 3;
constexpr std::size_t kWatchConnections = 4;
/// How long calls go straight to a peer after one that had no answer.
constexpr Duration kDetourTime = std::chrono::milliseconds(1500);
/// How long no peer is tried for refused calls after one was refused as well.
constexpr Duration kRefusedByAllTime = std::chrono::milliseconds(1500);
constexpr int kServiceUnavailable = 503;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);
/// A watch waits long for its answer: a path that is cut silently must not make it wait to its end.
constexpr Duration kDeadPeerLimit = std::chrono::milliseconds(1500);

/// @return whether the store has done nothing, and says so.
bool isRefusal(const std::optional<HttpResponse>& response) {
  return response && response->status == kServiceUnavailable;
}

HttpClientConfig clientConfig(const Endpoint& store, std::size_t connections) {
  HttpClientConfig config;
  config.server = store;
  config.connections = connections;
  config.connect_timeout = kConnectTimeout;
  config.dead_peer_limit = kDeadPeerLimit;
  return config;
}

}  // namespace

StoreAccess::StoreAccess(EventLoop& loop, const Clock& clock, const Endpoint& store, PeerLinks& links, EventLog& log,
                         RouterMetrics& metrics)
    : loop_(loop),
      clock_(clock),
      links_(links),
      log_(log),
      metrics_(metrics),
      calls_(loop, clientConfig(store, kCallConnections)),
      watches_(loop, clientConfig(store, kWatchConnections)) {}

void StoreAccess::callStraight(HttpRequest request, Duration timeout,
                               std::function<void(std::optional<HttpResponse>)> done) {
  const bool watches = timeout > kLongestCall;
  HttpClient& client = watches ? watches_ : calls_;
  const std::string method = watches ? "watch" : request.method;
  const auto on_end = [this, method, sent = clock_.now(), done = std::move(done)](HttpExchange exchange) {
    const bool answered = exchange.status == HttpExchangeStatus::Complete;
    metrics_.onStoreCall(method, answered ? exchange.response.status : 0, clock_.now() - sent);
    if (answered != straight_works_) {
      straight_works_ = answered;
      log_.write("store", answered ? "regained" : "lost",
                 {{"method", method}, {"took_ms", millisecondsText(clock_.now() - sent)}});
    }
    done(answered ? std::optional<HttpResponse>(std::move(exchange.response)) : std::nullopt);
  };
  client.send(std::move(request), timeout, on_end);
}

void StoreAccess::call(HttpRequest request, Duration timeout, std::function<void(std::optional<HttpResponse>)> done) {
  if (timeout > kLongestCall) {
    callStraight(std::move(request), timeout, std::move(done));
    return;
  }
  if (clock_.now() < detour_until_) {
    callThroughPeer(request, timeout, std::move(done));
    return;
  }
  callStraight(request, timeout,
               [this, request, timeout, done = std::move(done)](std::optional<HttpResponse> response) mutable {
                 const bool detours = !response || (isRefusal(response) && mayDetour());
                 if (!detours) {
                   done(std::move(response));
                   return;
                 }
                 detour_until_ = clock_.now() + kDetourTime;
                 callThroughPeer(request, timeout, std::move(done));
               });
}

void StoreAccess::callThroughPeer(const HttpRequest& request, Duration timeout,
                                  std::function<void(std::optional<HttpResponse>)> done) {
  const std::vector<NodeName> peers = links_.connected();
  if (peers.empty()) {
    loop_.post([done = std::move(done)] { done(std::nullopt); });
    return;
  }
  links_.callStore(peers[next_peer_++ % peers.size()], request, timeout,
                   [this, done = std::move(done)](std::optional<HttpResponse> response) {
                     if (isRefusal(response)) {
                       detour_until_ = {};
                       no_detour_until_ = clock_.now() + kRefusedByAllTime;
                     }
                     done(std::move(response));
                   });
}

}  // namespace shedlever
