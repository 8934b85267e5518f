/// @file
/// Uploads that several machines pass on to the same server at the same time take more memory than its machine has.
///
/// Six machines: `north` with the server of `desk`, `south` with the server of `shop`, four with servers of `other`.
/// Clients of these four upload one body each, within `maxBodyBytes`, at the same time (without the disruption: one
/// after the other). The platform's part of the script kills a process that takes more than its machine's memory, as
/// DEPLOY.md says, and starts it again.

#include <csignal>
#include <iostream>

#include "deployment.h"
#include "store_standin.h"

namespace {

using review::Milliseconds;

constexpr Milliseconds kReadyLimit{10000};
constexpr Milliseconds kServedLimit{10000};
constexpr Milliseconds kCalm{2000};
constexpr Milliseconds kStep{1};
constexpr Milliseconds kPause{100};
constexpr Milliseconds kUntilStart{500};
/// `maxBodyBytes` is 67,108,864.
constexpr std::size_t kBodyBytes = 60'000'000;
constexpr int kUploaders = 4;
/// The rule: processes end three times on two machines at least.
constexpr int kEnds = 3;
constexpr int kMaxRounds = 6;
constexpr int kOk = 200;

/// The platform: kills a process that takes too much memory, and starts it again.
class MemoryWatch {
 public:
  MemoryWatch(review::Record& record, review::RouterProcess& router) : record_(record), router_(router) {
    thread_ = std::thread([this] { watch(); });
  }
  ~MemoryWatch() {
    stopping_ = true;
    thread_.join();
  }
  MemoryWatch(const MemoryWatch&) = delete;
  MemoryWatch& operator=(const MemoryWatch&) = delete;

  int ends() const { return ends_; }

 private:
  void watch() {
    while (!stopping_) {
      const std::size_t bytes = router_.memoryBytes();
      if (bytes > review::RouterProcess::kMemoryLimit) {
        ++ends_;
        router_.end(SIGKILL);
        record_.write("the process of " + router_.node() + " took " + std::to_string(bytes >> 20U) +
                      " MB of 260 and was killed");
        std::this_thread::sleep_for(kUntilStart);
        router_.start();
        // Until it runs the router's program, a new process shows the memory of this one.
        std::this_thread::sleep_for(kUntilStart);
      }
      std::this_thread::sleep_for(kStep);
    }
  }

  review::Record& record_;
  review::RouterProcess& router_;
  std::atomic<int> ends_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

using Machines = std::vector<std::unique_ptr<review::RouterProcess>>;

void upload(review::Record& record, const review::RouterProcess& router, const std::string& route,
            const std::string& id) {
  const review::Headers headers = {
      {"host", "h.example"}, {"x-request-id", id}, {"x-request-deadline", std::to_string(kServedLimit.count())}};
  record.write("sent " + id + ", 60 MB, to " + router.node() + " on route " + route);
  const auto answer = review::call(
      router.ports().clients, review::formatRequest("POST", "/" + route + "/2f", headers, std::string(kBodyBytes, 'b')),
      kServedLimit);
  record.write("answered " + id + " with " + std::to_string(answer ? answer->status() : 0));
}

/// All uploaders send one body each.
void uploadRound(review::Record& record, const Machines& uploaders, const std::string& route, int round) {
  std::vector<std::thread> clients;
  for (const auto& uploader : uploaders) {
    const std::string id = route + "-" + std::to_string(round) + "-" + uploader->node();
    clients.emplace_back([&record, &uploader, &route, id] { upload(record, *uploader, route, id); });
    if (!review::withTrouble()) {
      clients.back().join();
      clients.pop_back();
    }
  }
  for (std::thread& client : clients) {
    client.join();
  }
}

/// @return whether a small request was served in time.
bool waitUntilServed(review::Record& record, const review::RouterProcess& router, const std::string& route) {
  const auto until = review::Clock::now() + kServedLimit;
  for (int i = 0; review::Clock::now() < until; ++i) {
    if (sendRequest(record, router, route, "small-" + route + std::to_string(i)) == kOk) {
      return true;
    }
    std::this_thread::sleep_for(kPause);
  }
  return false;
}

nlohmann::json makeUploadConfig() {
  nlohmann::json config = review::makeConfig(1, {{"file", "desk"}, {"order", "shop"}}, {"desk", "shop", "other"});
  for (nlohmann::json& route : config["routes"]) {
    route["kind"] = "non_idempotent";
    route["timeout"] = "10s";
    route["targetLatency"] = "8s";
  }
  return config;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: case_large_uploads RECORD FOLDER\n";
    return review::kCouldNotRun;
  }
  review::Record record(argv[1]);
  const std::string folder = argv[2];
  const int store_port = review::freePort();
  review::StoreStandin store(store_port);
  store.writeConfig(makeUploadConfig());
  review::RouterProcess north(folder, "north", "desk", store_port);
  review::RouterProcess south(folder, "south", "shop", store_port);
  review::ServerStandin north_server(record, north, "i-north", Milliseconds(20));
  review::ServerStandin south_server(record, south, "i-south", Milliseconds(20));
  Machines uploaders;
  std::vector<std::unique_ptr<review::ServerStandin>> servers;
  for (int i = 1; i <= kUploaders; ++i) {
    uploaders.push_back(
        std::make_unique<review::RouterProcess>(folder, "uploader-" + std::to_string(i), "other", store_port));
    uploaders.back()->start();
    servers.push_back(std::make_unique<review::ServerStandin>(record, *uploaders.back(),
                                                              "i-" + uploaders.back()->node(), Milliseconds(20)));
  }
  north.start();
  south.start();
  if (!north.waitUntilReady(kReadyLimit) || !south.waitUntilReady(kReadyLimit)) {
    return review::kCouldNotRun;
  }
  for (const auto& uploader : uploaders) {
    if (!uploader->waitUntilReady(kReadyLimit)) {
      return review::kCouldNotRun;
    }
  }
  std::this_thread::sleep_for(kCalm);
  const MemoryWatch north_watch(record, north);
  const MemoryWatch south_watch(record, south);
  const auto is_broken = [&] { return north_watch.ends() >= kEnds && south_watch.ends() >= kEnds; };
  for (int round = 1; round <= kMaxRounds && !is_broken(); ++round) {
    for (const std::string route : {"file", "order"}) {
      if (!waitUntilServed(record, *uploaders.front(), route)) {
        record.write("the deployment did not serve a small request");
        return review::kCouldNotRun;
      }
      uploadRound(record, uploaders, route, round);
    }
  }
  record.write("ends for memory: north " + std::to_string(north_watch.ends()) + ", south " +
               std::to_string(south_watch.ends()));
  record.write(is_broken() ? "BROKEN" : "held");
  return is_broken() ? review::kBroken : review::kHeld;
}
