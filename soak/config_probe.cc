#include "soak/config_probe.h"

namespace shedlever::soak {

namespace {

using std::chrono::milliseconds;

/// A changed configuration is in force everywhere after two seconds; a busy machine is given more. A watch that is
/// never answered ends after 18 s.
constexpr Duration kActivationTimeout = std::chrono::seconds(10);
constexpr Duration kInterval = milliseconds(100);
constexpr Duration kTimeout = milliseconds(2500);
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
  clients_[client]->send(std::move(request), kTimeout, [this, client, version, waited](const HttpExchange& exchange) {
    onResponse(client, version, waited, exchange);
  });
}

void ConfigProbe::onResponse(std::size_t client, std::uint64_t version, Duration waited, const HttpExchange& exchange) {
  // Whether there is room for it is another question.
  const bool in_force = exchange.status == HttpExchangeStatus::Complete && exchange.response.status != kNotFound;
  const bool replaced = version != version_;
  if (in_force || replaced) {
    seen_in_force_ += in_force ? 1 : 0;
    return;
  }
  if (waited >= kActivationTimeout) {
    broken_.push_back("configuration " + std::to_string(version) + " is not in force at node " +
                      std::to_string(client));
    return;
  }
  loop_.runAfter(kInterval, [this, client, version, waited] { sendProbe(client, version, waited + kInterval); });
}

}  // namespace shedlever::soak
