#pragma once

/// @file
/// Runs `shedlever` commands with an in-memory store and fake routers.

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "source/cli/cli.h"
#include "source/core/operators/node_status.h"
#include "source/core/operators/text_table.h"
#include "test/support/fake_object_store.h"

namespace shedlever::test {

/// Responds to a call with method and target.
using FakeRouter = std::function<OperatorResponse(const std::string&, const std::string&)>;

/// The exit code and the output of a command.
struct CommandResult {
  ExitCode code;
  std::string out;
  std::string err;
};

/// The environment of the commands. A wait ends when the event queue is empty.
class CliFixture final : public OperatorClient, public RetryTimer {
 public:
  CliFixture() : store(queue) {}

  void call(const Endpoint& router, const std::string& method, const std::string& target,
            std::function<void(const OperatorResponse&)> done) override {
    queue.post([this, router, method, target, done = std::move(done)] {
      const auto found = routers.find(router);
      done(found == routers.end() ? OperatorResponse{OperatorCallStatus::NotSent, 0, ""}
                                  : found->second(method, target));
    });
  }

  void runAfter(Duration, std::function<void()> callback) override { queue.post(std::move(callback)); }

  /// @param line the command line, with words separated by blanks.
  CommandResult run(const std::string& line) {
    std::istringstream stream(line);
    const std::vector<std::string> words{std::istream_iterator<std::string>(stream), {}};
    std::ostringstream out;
    std::ostringstream err;
    const auto make_ports = [this](const CliOptions&) { return std::make_unique<Ports>(*this); };
    const ExitCode code = runCli(words, "0.0.0", make_ports, out, err);
    queue.runAll();
    return {code, out.str(), err.str()};
  }

  /// Writes a document into the folder of the current test. @return its path.
  std::string file(const std::string& name, const std::string& text) {
    const std::filesystem::path path = folder() / (name + ".json");
    std::filesystem::create_directories(path.parent_path());
    std::ofstream(path) << text;
    return path.string();
  }

  /// Differs between processes, so that test runs of several work trees don't share it.
  std::filesystem::path folder() const {
    return std::filesystem::path(::testing::TempDir()) /
           (std::string("cli-") + ::testing::UnitTest::GetInstance()->current_test_info()->name() + "-" +
            std::to_string(getpid()));
  }

  EventQueue queue;
  FakeObjectStore store;
  std::map<Endpoint, FakeRouter> routers;

 private:
  class Ports final : public CliPorts {
   public:
    explicit Ports(CliFixture& fixture) : fixture_(fixture) {}
    ObjectStore& store() override { return fixture_.store; }
    OperatorClient& operators() override { return fixture_; }
    RetryTimer& timer() override { return fixture_; }
    bool runUntil(const std::function<bool()>& done) override {
      while (!done() && !fixture_.queue.empty()) {
        fixture_.queue.run(0);
      }
      return done();
    }
    std::string currentTime() override { return "2026-12-02T08:00:00Z"; }
    std::string newChangeId() override { return "change-" + std::to_string(++fixture_.changes_); }
    std::string userName() override { return "tester"; }

   private:
    CliFixture& fixture_;
  };

  int changes_ = 0;
};

}  // namespace shedlever::test
