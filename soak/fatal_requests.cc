#include "soak/fatal_requests.h"

namespace shedlever::soak {

namespace {

constexpr Duration kRequestTimeout = std::chrono::milliseconds(2500);
constexpr std::size_t kMaxCrashesPerRequest = 3;
/// Prefixes of the request ids, by which the checker counts the server instances that began each request.
constexpr const char* kSequentialName = "in-turn-";
constexpr const char* kConcurrentName = "at-once-";
/// The keys are far apart, so that they have different owners initially.
constexpr const char* kSequentialKey = "7";
constexpr const char* kConcurrentKey = "40000";
/// Rounds that send only the sequential request, so that its crashes are counted apart from those of the other one.
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
  clients_[client]->send(std::move(request), kRequestTimeout, [](const HttpExchangeResult&) {});
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

std::vector<std::string> FatalRequests::violations(const check::HistoryChecker& checks) const {
  std::vector<std::string> violations;
  for (const char* name : {kSequentialName, kConcurrentName}) {
    const std::size_t instances = checks.countInstances(name);
    if (instances == 0 && rounds_ > kSequentialRounds) {
      violations.push_back(std::string("the fatal request ") + name + " reached no server");
    }
    if (instances > kMaxCrashesPerRequest) {
      violations.push_back(std::string("the fatal request ") + name + " crashed " + std::to_string(instances) +
                           " servers");
    }
  }
  return violations;
}

}  // namespace shedlever::soak
