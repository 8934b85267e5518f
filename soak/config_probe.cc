#include "soak/config_probe.h"

namespace shedlever::soak {

namespace {

using std::chrono::milliseconds;

/// Nodes activate a changed configuration within two seconds; the rest allows for a busy machine. The limit is below
/// the 18 s after which an unanswered watch times out, so it detects nodes that wait for that timeout.
constexpr Duration kActivationTimeout = std::chrono::seconds(10);
constexpr Duration kProbeInterval = milliseconds(100);
constexpr Duration kRequestTimeout = milliseconds(2500);
constexpr int kNotFound = 404;

}  // namespace

std::string routePrefixOfVersion(std::uint64_t version) { return "/v" + std::to_string(version) + "/"; }

void ConfigProbe::start() {
  for (std::size_t client = 0; client < clients_.size(); ++client) {
    sendProbe(client, version_, Duration::zero());
  }
}

void ConfigProbe::sendProbe(std::size_t client, std::uint64_t version, Duration waited) {
  HttpRequest request{
      "GET",
      routePrefixOfVersion(version) + "x",
      {{"Host", "h"}, {"X-Request-Id", "p" + std::to_string(++last_request_)}, {"X-Request-Deadline", "2000"}},
      {}};
  clients_[client]->send(std::move(request), kRequestTimeout,
                         [this, client, version, waited](const HttpExchangeResult& exchange) {
                           onResponse(client, version, waited, exchange);
                         });
}

void ConfigProbe::onResponse(std::size_t client, std::uint64_t version, Duration waited,
                             const HttpExchangeResult& exchange) {
  // Any status other than 404 shows that the route exists, also a refusal because of overload.
  const bool is_active = exchange.status == HttpExchangeStatus::Complete && exchange.response.status != kNotFound;
  const bool superseded = version != version_;
  if (is_active || superseded) {
    active_count_ += is_active ? 1 : 0;
    return;
  }
  if (waited >= kActivationTimeout) {
    violations_.push_back("configuration " + std::to_string(version) + " is not active at node " +
                          std::to_string(client));
    return;
  }
  loop_.runAfter(kProbeInterval,
                 [this, client, version, waited] { sendProbe(client, version, waited + kProbeInterval); });
}

}  // namespace shedlever::soak
