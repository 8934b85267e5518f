/// @file
/// A server that leaves gets requests again if the process that acknowledged its notice is killed and started again
/// while a heartbeat that the server sent before the notice is still on its way.
///
/// Three machines: `north` and `south` with a server of the service `desk` each, `front` with one of another service.
/// The clients of `front` ask `desk` all the time. The server of `north` leaves with `POST deregister`, as some servers
/// do, and works on for some seconds.

#include <csignal>
#include <iostream>

#include "deployment.h"
#include "store_standin.h"

namespace {

using review::Milliseconds;

constexpr Milliseconds kContact{3000};
/// `drain` of the deployment.
constexpr Milliseconds kDrain{2000};
/// Added to the bound, so that the check is no closer to it than the server could tell.
constexpr Milliseconds kSlack{300};
constexpr Milliseconds kReadyLimit{10000};
constexpr Milliseconds kSendInterval{40};
/// Between the acknowledgement of the notice and the kill, and between the kill and the next start.
constexpr Milliseconds kUntilKill{200};
constexpr Milliseconds kUntilStart{500};
/// How late the heartbeat arrives that was sent just before the notice.
constexpr Milliseconds kHeartbeatDelay{2500};
/// How long the server works on after the acknowledgement.
constexpr Milliseconds kUntilServerEnds{6000};

void sleepUntil(review::Clock::time_point time) { std::this_thread::sleep_until(time); }

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: case_leaving_server RECORD FOLDER\n";
    return review::kCouldNotRun;
  }
  review::Record record(argv[1]);
  const std::string folder = argv[2];
  const int store_port = review::freePort();
  review::StoreStandin store(store_port);
  store.writeConfig(review::makeConfig(1, {{"ask", "desk"}}, {"desk", "other"}));
  review::RouterProcess north(folder, "north", "desk", store_port);
  review::RouterProcess south(folder, "south", "desk", store_port);
  review::RouterProcess front(folder, "front", "other", store_port);
  for (review::RouterProcess* router : {&north, &south, &front}) {
    router->start();
  }
  review::ServerStandin north_server(record, north, "i-north", Milliseconds(20));
  review::ServerStandin south_server(record, south, "i-south", Milliseconds(20));
  review::ServerStandin front_server(record, front, "i-front", Milliseconds(20));
  for (const review::RouterProcess* router : {&north, &south, &front}) {
    if (!router->waitUntilReady(kReadyLimit)) {
      record.write(router->node() + " did not become ready");
      return review::kCouldNotRun;
    }
  }
  std::atomic<bool> stopping = false;
  std::thread client([&] {
    for (int i = 0; !stopping; ++i) {
      sendRequest(record, front, "ask", "ask-" + std::to_string(i));
      std::this_thread::sleep_for(kSendInterval);
    }
  });
  const auto finish = [&](int result) {
    stopping = true;
    client.join();
    return result;
  };
  std::this_thread::sleep_for(kContact + kContact);
  if (north_server.runs().empty() || south_server.runs().empty()) {
    record.write("the deployment did not use both servers");
    return finish(review::kCouldNotRun);
  }
  north_server.startLeaving();
  const int late_sequence = north_server.lastSequence() + 1;
  const auto heartbeat_sent = review::Clock::now();
  record.write("i-north sends heartbeat " + std::to_string(late_sequence) + ", which is held up on its way");
  if (!north_server.deregister()) {
    record.write("the notice was not acknowledged");
    return finish(review::kCouldNotRun);
  }
  const auto acknowledged = review::Clock::now();
  record.write("north acknowledged that i-north leaves");
  if (review::withTrouble()) {
    sleepUntil(acknowledged + kUntilKill);
    north.end(SIGKILL);
    record.write("the process of north was killed");
    std::this_thread::sleep_for(kUntilStart);
    north.start();
    record.write("the process of north was started again");
  }
  sleepUntil(heartbeat_sent + kHeartbeatDelay);
  north_server.sendHeartbeat(late_sequence);
  record.write("heartbeat " + std::to_string(late_sequence) + " of i-north arrived");
  sleepUntil(acknowledged + kUntilServerEnds);
  finish(review::kHeld);
  int late_runs = 0;
  for (const review::ServerStandin::Run& run : north_server.runs()) {
    late_runs += run.at > acknowledged + kDrain + kSlack ? 1 : 0;
  }
  record.write((late_runs > 0 ? "BROKEN: " : "held: ") + std::to_string(late_runs) +
               " requests of front reached i-north later than drain after the acknowledgement");
  return late_runs > 0 ? review::kBroken : review::kHeld;
}
