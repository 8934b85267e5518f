#include "soak/config_probe.h"

namespace shedlever::soak {

namespace {

using std::chrono::milliseconds;

/// A changed configuration is in force everywhere after two seconds; a busy machine is given more. A watch that is
/// never answered ends after 18 s.
constexpr Duration kInForceWithin = std::chrono::seconds(10);
constexpr Duration kInterval = milliseconds(100);
constexpr Duration kTimeout = milliseconds(2500);
constexpr int kNotFound = 404;

}  // namespace

std::string newestPrefix(std::uint64_t version) { return "/v" + std::to_string(version) + "/"; }

void ConfigProbe::start() {
  for (std::size_t client = 0; client < clients_.size(); ++client) {
    ask(client, version_, Duration::zero());
  }
}

void ConfigProbe::ask(std::size_t client, std::uint64_t version, Duration waited) {
  HttpRequest request{
      "GET",
      newestPrefix(version) + "x",
      {{"Host", "h"}, {"X-Request-Id", "p" + std::to_string(++last_request_)}, {"X-Request-Deadline", "2000"}},
      {}};
  clients_[client]->send(std::move(request), kTimeout,
                         [this, client, version, waited](const HttpExchangeResult& exchange) {
                           onAnswer(client, version, waited, exchange);
                         });
}

void ConfigProbe::onAnswer(std::size_t client, std::uint64_t version, Duration waited,
                           const HttpExchangeResult& exchange) {
  // Whether there is room for it is another question.
  const bool in_force = exchange.status == HttpExchangeStatus::Complete && exchange.response.status != kNotFound;
  const bool replaced = version != version_;
  if (in_force || replaced) {
    seen_in_force_ += in_force ? 1 : 0;
    return;
  }
  if (waited >= kInForceWithin) {
    broken_.push_back("configuration " + std::to_string(version) + " is not in force at node " +
                      std::to_string(client));
    return;
  }
  loop_.runAfter(kInterval, [this, client, version, waited] { ask(client, version, waited + kInterval); });
}

}  // namespace shedlever::soak
