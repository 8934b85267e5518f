/// @file
/// A server that has taken no new connection for a moment gets nothing any more, if the server before it at its address
/// went silent and was replaced.
///
/// Two machines: `north` with the only server of the service `desk`, `front` with a server of another service, whose
/// clients ask `desk` all the time. The server of `north` crashes without a word and is started again as a new
/// instance. Later the new one takes no new connection for two seconds, and is sound again.

#include <iostream>

#include "deployment.h"
#include "store_standin.h"

namespace {

using review::Milliseconds;

constexpr Milliseconds kReadyLimit{10000};
constexpr Milliseconds kCalm{5000};
constexpr Milliseconds kDark{4500};
constexpr Milliseconds kUntilStall{6000};
constexpr Milliseconds kStall{2000};
/// `recovery` of the deployment.
constexpr Milliseconds kRecovery{15000};
constexpr Milliseconds kSlack{1000};
constexpr Milliseconds kWork{100};
constexpr Milliseconds kSendInterval{100};
constexpr int kClients = 6;
constexpr int kBurstClients = 4;
/// How much longer the server works while it takes no new connection; the site's days have up to 12.
constexpr int kSlowness = 12;
constexpr int kMeasured = 60;
constexpr int kOk = 200;
/// The rule: less than a quarter of the requests is served.
constexpr int kServedDivisor = 4;

/// Clients that send one request after the other until told to stop.
class Clients {
 public:
  Clients(review::Record& record, const review::RouterProcess& router, const std::string& name, int count) {
    for (int i = 0; i < count; ++i) {
      threads_.emplace_back([this, &record, &router, prefix = name + std::to_string(i) + "-"] {
        for (int number = 0; !stopping_; ++number) {
          served_ += sendRequest(record, router, "ask", prefix + std::to_string(number)) == kOk ? 1 : 0;
          std::this_thread::sleep_for(kSendInterval);
        }
      });
    }
  }
  ~Clients() { stop(); }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  void stop() {
    stopping_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }
  /// @return the number of requests that were served since the last call.
  int takeServed() { return served_.exchange(0); }

 private:
  std::atomic<bool> stopping_ = false;
  std::atomic<int> served_ = 0;
  std::vector<std::thread> threads_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: case_silent_server RECORD FOLDER\n";
    return review::kCouldNotRun;
  }
  review::Record record(argv[1]);
  const std::string folder = argv[2];
  const int store_port = review::freePort();
  review::StoreStandin store(store_port);
  store.writeConfig(review::makeConfig(1, {{"ask", "desk"}}, {"desk", "other"}));
  review::RouterProcess north(folder, "north", "desk", store_port);
  review::RouterProcess front(folder, "front", "other", store_port);
  north.start();
  front.start();
  auto server = std::make_unique<review::ServerStandin>(record, north, "i-north-1", kWork);
  review::ServerStandin front_server(record, front, "i-front", Milliseconds(20));
  if (!north.waitUntilReady(kReadyLimit) || !front.waitUntilReady(kReadyLimit)) {
    return review::kCouldNotRun;
  }
  std::this_thread::sleep_for(kCalm);
  Clients clients(record, front, "ask-", kClients);
  std::this_thread::sleep_for(kCalm);
  if (clients.takeServed() == 0) {
    return review::kCouldNotRun;
  }
  if (review::withTrouble()) {
    record.write("i-north-1 crashes without a word");
    server->goDark();
    std::this_thread::sleep_for(kDark);
    server.reset();
    server = std::make_unique<review::ServerStandin>(record, north, "i-north-2", kWork);
    record.write("i-north-2 is up at its address");
    clients.takeServed();
    std::this_thread::sleep_for(kUntilStall);
    if (clients.takeServed() == 0) {
      record.write("i-north-2 was not used");
      return review::kCouldNotRun;
    }
    record.write("i-north-2 takes no new connection and is slow");
    server->startStall(kSlowness);
    {
      Clients burst(record, front, "burst-", kBurstClients);
      std::this_thread::sleep_for(kStall);
    }
    server->endStall();
    record.write("i-north-2 is sound again");
  }
  std::this_thread::sleep_for(kRecovery + kSlack);
  clients.stop();
  int served = 0;
  for (int i = 0; i < kMeasured; ++i) {
    served += sendRequest(record, front, "ask", "after-" + std::to_string(i)) == kOk ? 1 : 0;
    std::this_thread::sleep_for(kSendInterval);
  }
  record.write(std::to_string(served) + " of " + std::to_string(kMeasured) + " served");
  const bool held = served * kServedDivisor >= kMeasured;
  record.write(held ? "held" : "BROKEN: less than a quarter is served");
  return held ? review::kHeld : review::kBroken;
}
