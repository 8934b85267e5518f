#include "soak/fatal_requests.h"

namespace shedlever::soak {

namespace {

constexpr Duration kTimeout = std::chrono::milliseconds(2500);
constexpr std::size_t kMaxCrashesPerRequest = 3;
/// Names of the two requests: what their ids begin with.
constexpr const char* kSequentialName = "in-turn-";
constexpr const char* kConcurrentName = "at-once-";
/// Far apart, so that the two have different owners at first.
constexpr const char* kSequentialKey = "7";
constexpr const char* kConcurrentKey = "40000";
/// Rounds with the one request alone: the other one's ends would stand beside it.
constexpr std::size_t kSequentialRounds = 12;

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
  if (round < kSequentialRounds) {
    send(round % clients_.size(), kSequentialName, kSequentialKey);
    return;
  }
  for (std::size_t client = 0; client < clients_.size(); ++client) {
    send(client, kConcurrentName, kConcurrentKey);
  }
}

std::vector<std::string> FatalRequests::violations(const check::RunChecks& checks) const {
  std::vector<std::string> broken;
  for (const char* name : {kSequentialName, kConcurrentName}) {
    const std::size_t lives = checks.livesThatBegan(name);
    if (lives == 0 && rounds_ > kSequentialRounds) {
      broken.push_back(std::string("the fatal request ") + name + " reached no server");
    }
    if (lives > kMaxCrashesPerRequest) {
      broken.push_back(std::string("the fatal request ") + name + " cost " + std::to_string(lives) + " servers");
    }
  }
  return broken;
}

}  // namespace shedlever::soak
