/// @file
/// A server of a service that is divided by key gets requests again, seconds after its draining was acknowledged, if
/// the process that acknowledged it is killed and started again meanwhile.
///
/// Two machines: `lookup` with the last server of a service that is divided by key, and `front` with a server of
/// another service, whose clients ask `lookup` all the time.

#include <csignal>
#include <iostream>

#include "keyed_server_standin.h"
#include "store_standin.h"

namespace {

using review::Milliseconds;

constexpr Milliseconds kReadyLimit{10000};
constexpr Milliseconds kUntilKeysAreServed{15000};
constexpr Milliseconds kCalm{4000};
/// `drain` of the deployment.
constexpr Milliseconds kDrain{2000};
/// Added to the bound, so that the check is no closer to it than the server could tell.
constexpr Milliseconds kSlack{300};
/// Between the acknowledgement and the kill, and between the kill and the next start.
constexpr Milliseconds kUntilKill{1200};
constexpr Milliseconds kUntilStart{500};
/// How long the server works on after the acknowledgement.
constexpr Milliseconds kUntilServerEnds{7000};
constexpr Milliseconds kSendInterval{20};
constexpr Milliseconds kDeadline{2500};
constexpr int kOk = 200;
constexpr int kKeyStep = 997;

int askKey(review::Record& record, const review::RouterProcess& router, int number) {
  const int key = number * kKeyStep % review::KeyedServerStandin::kKeys;
  const std::string id = "ask-" + std::to_string(number);
  record.write("sent " + id + " on key " + std::to_string(key) + " to " + router.node());
  const auto answer = review::call(router.ports().clients,
                                   review::formatRequest("GET", "/find/2f",
                                                         {{"host", "h.example"},
                                                          {"x-request-id", id},
                                                          {"x-shard-key", std::to_string(key)},
                                                          {"x-request-deadline", std::to_string(kDeadline.count())}},
                                                         ""),
                                   kDeadline);
  const int status = answer ? answer->status() : 0;
  record.write("answered " + id + " with " + std::to_string(status));
  return status;
}

nlohmann::json makeKeyedConfig() {
  nlohmann::json config = review::makeConfig(1, {{"find", "lookup"}}, {"lookup", "other"});
  config["services"][0]["sharded"] = true;
  config["services"][0]["grants"] = "request";
  config["services"][0]["warmUp"] = "3s";
  return config;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: case_draining_keys RECORD FOLDER\n";
    return review::kCouldNotRun;
  }
  review::Record record(argv[1]);
  const std::string folder = argv[2];
  const int store_port = review::freePort();
  review::StoreStandin store(store_port);
  store.writeConfig(makeKeyedConfig());
  review::RouterProcess lookup(folder, "lookup", "lookup", store_port);
  review::RouterProcess front(folder, "front", "other", store_port);
  lookup.start();
  front.start();
  review::KeyedServerStandin server(record, lookup, "i-lookup");
  review::ServerStandin front_server(record, front, "i-front", Milliseconds(20));
  if (!lookup.waitUntilReady(kReadyLimit) || !front.waitUntilReady(kReadyLimit)) {
    return review::kCouldNotRun;
  }
  int number = 0;
  const auto limit = review::Clock::now() + kUntilKeysAreServed;
  while (askKey(record, front, ++number) != kOk) {
    if (review::Clock::now() > limit) {
      record.write("no key was served");
      return review::kCouldNotRun;
    }
  }
  std::atomic<bool> stopping = false;
  std::thread client([&] {
    while (!stopping) {
      askKey(record, front, ++number);
      std::this_thread::sleep_for(kSendInterval);
    }
  });
  const auto finish = [&](int result) {
    stopping = true;
    client.join();
    return result;
  };
  std::this_thread::sleep_for(kCalm);
  const auto acknowledged = server.startDraining();
  if (!acknowledged) {
    return finish(review::kCouldNotRun);
  }
  record.write("lookup acknowledged that i-lookup drains");
  if (review::withTrouble()) {
    std::this_thread::sleep_until(*acknowledged + kUntilKill);
    lookup.end(SIGKILL);
    record.write("the process of lookup was killed");
    std::this_thread::sleep_for(kUntilStart);
    lookup.start();
    record.write("the process of lookup was started again");
  }
  std::this_thread::sleep_until(*acknowledged + kUntilServerEnds);
  finish(review::kHeld);
  int late_runs = 0;
  for (const review::Clock::time_point run : server.runs()) {
    late_runs += run > *acknowledged + kDrain + kSlack ? 1 : 0;
  }
  record.write((late_runs > 0 ? "BROKEN: " : "held: ") + std::to_string(late_runs) +
               " requests of front reached i-lookup later than drain after the acknowledgement");
  return late_runs > 0 ? review::kBroken : review::kHeld;
}
