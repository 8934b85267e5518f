/// @file
/// A write of a machine's record that gets no answer and is carried out seconds later hides the server of that machine
/// from all other machines for good.
///
/// Five machines: one with the only server of the service `orders`, four with servers of `desk`. The clients of all
/// machines ask `orders`. All processes are killed and started again; meanwhile one write to the store gets no answer
/// and is carried out five seconds later.

#include <csignal>
#include <iostream>

#include "deployment.h"
#include "store_standin.h"

namespace {

using review::Milliseconds;

constexpr Milliseconds kReadyLimit{10000};
constexpr Milliseconds kCalm{4000};
constexpr Milliseconds kDown{900};
/// `recovery` of the deployment.
constexpr Milliseconds kRecovery{15000};
constexpr Milliseconds kSlack{1000};
/// How long answers of the store are lost, and how late the write is carried out.
constexpr Milliseconds kStoreTrouble{4500};
constexpr Milliseconds kWriteDelay{5000};
constexpr Milliseconds kSendInterval{100};
constexpr int kRounds = 20;
constexpr int kOk = 200;
constexpr int kDeskMachines = 4;
/// The rule: less than a quarter of the requests is served.
constexpr int kServedDivisor = 4;

using Machines = std::vector<std::unique_ptr<review::RouterProcess>>;

struct Count {
  int sent = 0;
  int served = 0;
  bool isEnough() const { return served * kServedDivisor >= sent; }
};

/// Sends requests to all machines in turn.
Count sendRounds(review::Record& record, const Machines& machines, const std::string& name) {
  Count count;
  for (int round = 0; round < kRounds; ++round) {
    for (const auto& machine : machines) {
      const std::string id = name + "-" + std::to_string(count.sent++);
      count.served += sendRequest(record, *machine, "buy", id) == kOk ? 1 : 0;
    }
    std::this_thread::sleep_for(kSendInterval);
  }
  record.write(name + ": " + std::to_string(count.served) + " of " + std::to_string(count.sent) + " served");
  return count;
}

bool waitUntilAllReady(const Machines& machines) {
  for (const auto& machine : machines) {
    if (!machine->waitUntilReady(kReadyLimit)) {
      return false;
    }
  }
  return true;
}

/// Lets the first replacement of the record of machine `orders` go without an answer and be carried out late.
void loseOneWrite(review::Record& record, review::StoreStandin& store) {
  const auto until = review::Clock::now() + kStoreTrouble;
  const auto lost = std::make_shared<bool>(false);
  const auto writes = std::make_shared<int>(0);
  store.setChooseFate(
      [&record, until, lost, writes](const std::string& method, const std::string&, const nlohmann::json& document) {
        if (review::Clock::now() >= until) {
          return review::WriteFate{};
        }
        ++*writes;
        const std::string name = document.value("metadata", nlohmann::json::object()).value("name", "");
        const std::string spec = document.value("spec", nlohmann::json()).dump();
        const bool chosen = !*lost && method == "PUT" && name == "node-orders";
        record.write("store: write " + std::to_string(*writes) + ", " + method + " " + name + " " + spec +
                     (chosen ? ": no answer, carried out in 5 s" : ""));
        *lost = *lost || chosen;
        return chosen ? review::WriteFate{false, kWriteDelay} : review::WriteFate{};
      });
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: case_late_record RECORD FOLDER\n";
    return review::kCouldNotRun;
  }
  review::Record record(argv[1]);
  const std::string folder = argv[2];
  const int store_port = review::freePort();
  review::StoreStandin store(store_port);
  store.writeConfig(review::makeConfig(1, {{"buy", "orders"}}, {"orders", "desk"}));
  Machines machines;
  machines.push_back(std::make_unique<review::RouterProcess>(folder, "orders", "orders", store_port));
  for (int i = 1; i <= kDeskMachines; ++i) {
    machines.push_back(
        std::make_unique<review::RouterProcess>(folder, "desk-" + std::to_string(i), "desk", store_port));
  }
  std::vector<std::unique_ptr<review::ServerStandin>> servers;
  for (const auto& machine : machines) {
    machine->start();
    servers.push_back(
        std::make_unique<review::ServerStandin>(record, *machine, "i-" + machine->node(), Milliseconds(20)));
  }
  if (!waitUntilAllReady(machines)) {
    return review::kCouldNotRun;
  }
  std::this_thread::sleep_for(kCalm);
  if (!sendRounds(record, machines, "before").isEnough()) {
    return review::kCouldNotRun;
  }
  if (review::withTrouble()) {
    for (const auto& machine : machines) {
      machine->end(SIGKILL);
    }
    record.write("all processes were killed");
    loseOneWrite(record, store);
    std::this_thread::sleep_for(kDown);
    for (const auto& machine : machines) {
      machine->start();
    }
    record.write("all processes were started again");
  }
  if (!waitUntilAllReady(machines)) {
    return review::kCouldNotRun;
  }
  std::this_thread::sleep_for(kRecovery + kSlack);
  record.write("record of the machine orders: " + store.specOf("shedlever-nodes", "node-orders").dump());
  const bool held = sendRounds(record, machines, "after").isEnough();
  record.write(held ? "held" : "BROKEN: less than a quarter is served");
  return held ? review::kHeld : review::kBroken;
}
