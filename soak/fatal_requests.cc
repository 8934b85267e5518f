#include "soak/fatal_requests.h"

namespace shedlever::soak {

namespace {

constexpr Duration kTimeout = std::chrono::milliseconds(2500);
constexpr std::size_t kMostLives = 3;
/// Names of the two requests: what their ids begin with.
constexpr const char* kInTurn = "in-turn-";
constexpr const char* kAtOnce = "at-once-";
/// Far apart, so that the two have different owners at first.
constexpr const char* kKeyInTurn = "7";
constexpr const char* kKeyAtOnce = "40000";
/// Rounds with the one request alone: the other one's ends would stand beside it.
constexpr std::size_t kRoundsInTurn = 12;

}  // namespace

void FatalRequests::send(std::size_t client, const std::string& name, const std::string& key) {
  HttpRequest request{"GET",
                      std::string(kFatalPath) + "?name=" + name,
                      {{"Host", "h"},
                       {"X-Request-Id", name + std::to_string(++last_request_)},
                       {"X-Request-Deadline", "2000"},
                       {"X-Shard-Key", key}},
                      {}};
  clients_[client]->send(std::move(request), kTimeout, [](const HttpExchange&) {});
}

void FatalRequests::sendRound() {
  const std::size_t round = rounds_++;
  if (round < kRoundsInTurn) {
    send(round % clients_.size(), kInTurn, kKeyInTurn);
    return;
  }
  for (std::size_t client = 0; client < clients_.size(); ++client) {
    send(client, kAtOnce, kKeyAtOnce);
  }
}

std::vector<std::string> FatalRequests::violations(const check::HistoryChecker& checks) const {
  std::vector<std::string> broken;
  for (const char* name : {kInTurn, kAtOnce}) {
    const std::size_t lives = checks.countInstances(name);
    if (lives == 0 && rounds_ > kRoundsInTurn) {
      broken.push_back(std::string("the fatal request ") + name + " reached no server");
    }
    if (lives > kMostLives) {
      broken.push_back(std::string("the fatal request ") + name + " cost " + std::to_string(lives) + " servers");
    }
  }
  return broken;
}

}  // namespace shedlever::soak
