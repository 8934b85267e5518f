/// @file
/// A machine that has had no request for some seconds handles the next one by a configuration that is no longer in
/// force, if its connection to the store has gone silent meanwhile.
///
/// Three machines: one of the service `catalogue` whose clients are quiet, one of the service `orders`, and one of
/// `catalogue` whose clients send all the time. All connections to the store go silent; new ones work. Then the
/// operator moves a route from `catalogue` to `orders`.

#include <iostream>

#include "deployment.h"
#include "store_standin.h"

namespace {

using review::Milliseconds;

/// `contact` and `configApply` of the deployment, and the age that open connections have when they go silent.
constexpr Milliseconds kContact{3000};
constexpr Milliseconds kConfigApply{2000};
constexpr Milliseconds kBeforeSilence{4000};
/// Added to each bound, so that the check is no closer to it than a client could tell.
constexpr Milliseconds kSlack{1000};
constexpr Milliseconds kReadyLimit{10000};
constexpr Milliseconds kBusyInterval{100};
constexpr int kOk = 200;
constexpr int kFirstRequests = 5;

void sleepFor(Milliseconds time) { std::this_thread::sleep_for(time); }

/// @return whether the server ran the request.
bool ran(review::ServerStandin& server, const std::string& id) {
  for (const review::ServerStandin::Run& run : server.runs()) {
    if (run.id == id) {
      return true;
    }
  }
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: case_stale_configuration RECORD FOLDER\n";
    return review::kCouldNotRun;
  }
  review::Record record(argv[1]);
  const std::string folder = argv[2];
  const int store_port = review::freePort();
  review::StoreStandin store(store_port);
  const std::vector<std::string> services = {"catalogue", "orders"};
  store.writeConfig(review::makeConfig(1, {{"shop", "catalogue"}}, services));
  review::RouterProcess quiet(folder, "quiet", "catalogue", store_port);
  review::RouterProcess orders(folder, "orders", "orders", store_port);
  review::RouterProcess busy(folder, "busy", "catalogue", store_port);
  for (review::RouterProcess* router : {&quiet, &orders, &busy}) {
    router->start();
  }
  review::ServerStandin quiet_server(record, quiet, "i-quiet", Milliseconds(20));
  review::ServerStandin orders_server(record, orders, "i-orders", Milliseconds(20));
  review::ServerStandin busy_server(record, busy, "i-busy", Milliseconds(20));
  for (const review::RouterProcess* router : {&quiet, &orders, &busy}) {
    if (!router->waitUntilReady(kReadyLimit)) {
      record.write(router->node() + " did not become ready");
      return review::kCouldNotRun;
    }
  }
  sleepFor(kContact);
  int served = 0;
  for (int i = 0; i < kFirstRequests; ++i) {
    served += sendRequest(record, quiet, "shop", "first-" + std::to_string(i)) == kOk ? 1 : 0;
  }
  if (served != kFirstRequests) {
    record.write("the deployment did not serve its first requests");
    return review::kCouldNotRun;
  }
  std::atomic<bool> stopping = false;
  std::thread busy_client([&] {
    for (int i = 0; !stopping; ++i) {
      sendRequest(record, busy, "shop", "busy-" + std::to_string(i));
      sleepFor(kBusyInterval);
    }
  });
  sleepFor(kBeforeSilence);
  if (review::withTrouble()) {
    record.write("all open connections to the store go silent; new ones work");
    store.silenceOpenConnections();
  }
  sleepFor(kContact + kSlack);
  store.writeConfig(review::makeConfig(2, {{"shop", "orders"}}, services));
  record.write("version 2 acknowledged by the store: the route goes to orders");
  sleepFor(kConfigApply + kSlack);
  const int status = sendRequest(record, quiet, "shop", "late-0");
  stopping = true;
  busy_client.join();
  if (ran(quiet_server, "late-0") || ran(busy_server, "late-0")) {
    record.write("BROKEN: catalogue ran late-0, which only version 1 allows");
    return review::kBroken;
  }
  const bool ran_by_orders = ran(orders_server, "late-0");
  record.write(ran_by_orders ? "held: orders ran late-0" : "late-0 ran nowhere");
  return ran_by_orders && status == kOk ? review::kHeld : review::kCouldNotRun;
}
