#include <gtest/gtest.h>

#include "source/core/settings/settings_change.h"
#include "test/cli/cli_fixture.h"

namespace shedlever::test {
namespace {

const std::string kStore = " --platform 127.0.0.1:1";
const std::string kObject = "settings/services/a";

std::string service(int priority) { return R"({"path_prefix":"/a/","priority":)" + std::to_string(priority) + "}"; }

/// A router that responds with its status.
FakeRouter statusOf(const std::string& node, SettingsVersion version) {
  NodeStatus status;
  status.node.name = NodeName(node);
  status.config_parts["services.a"] = version;
  return [status](const std::string&, const std::string&) {
    return OperatorResponse{OperatorCallStatus::Answered, 200, encodeNodeStatus(status)};
  };
}

/// A command line that must be rejected without any change, and a part of the error message.
struct UsageCase {
  std::string line;
  std::string message;
};

TEST(Cli, InvalidCommandLinesAreRejectedWithoutChanges) {
  CliFixture cli;
  const std::string file = cli.file("services/a", service(1));
  const std::string wrong = cli.file("services/b", R"({"path_prefix":"/a/b/","prioriti":2})");
  const std::vector<UsageCase> cases = {
      {"", "names no command"},
      {"config", "\"config\" is not a command"},
      {"config aply x", "Did you mean \"config apply\"?"},
      {"statsu", "Did you mean \"status\"?"},
      {"owners", "--operator: is required by owners"},
      {"status --operator localhost:1", "no host name"},
      {"config get" + kStore + " --wait", "--wait: has no meaning for config get"},
      {"config get a b" + kStore, "config get takes [DOCUMENT]"},
      {"config get --at x --base 1.5" + kStore, "--base: must be a whole number"},
      {"config apply " + file, "--platform: is required"},
      {"config get --platform --json", "--platform: needs a value"},
      {"config apply --plattform x", "Did you mean \"platform\"?"},
      {"config apply " + file + " " + wrong + kStore, "services/b#/path_prefix: overlaps"},
      {"config check " + file + " " + wrong, "services/b#/prioriti: is not a known setting here"},
      {"config check nowhere.json", "is no settings document"},
      {"config apply " + file + " --wait" + kStore, "--operator: is required with --wait"},
  };
  for (const UsageCase& usage : cases) {
    SCOPED_TRACE(usage.line);
    const CommandResult result = cli.run(usage.line);
    EXPECT_EQ(result.code, ExitCode::Findings);
    EXPECT_NE(result.err.find(usage.message), std::string::npos) << result.err;
    EXPECT_TRUE(result.out.empty()) << result.out;
  }
  EXPECT_TRUE(cli.store.versionsOf(kObject).empty());
}

// Two operators edit the same version. The second change must not overwrite the first one silently.
TEST(Cli, ApplyOfAnOutdatedVersionReportsAConflictAndKeepsTheStoredDocument) {
  CliFixture cli;
  const std::string first = cli.file("services/a", service(1));
  ASSERT_EQ(cli.run("config apply " + first + kStore + " --author ali").code, ExitCode::Done);
  const std::string stored = cli.run("config get services/a" + kStore).out;
  const std::string theirs =
      cli.file("theirs/services/a", std::string(stored).replace(stored.find("\"priority\": 1"), 13, "\"priority\": 2"));
  const std::string mine =
      cli.file("mine/services/a", std::string(stored).replace(stored.find("\"priority\": 1"), 13, "\"priority\": 3"));
  ASSERT_EQ(cli.run("config apply " + theirs + kStore + " --author bina").code, ExitCode::Done);
  const CommandResult conflict = cli.run("config apply " + mine + kStore + " --author ali");
  EXPECT_EQ(conflict.code, ExitCode::Conflict);
  for (const char* part : {"by bina", "  /priority: 1 -> 2", "  /priority: 1 -> 3", "both changed /priority"}) {
    EXPECT_NE(conflict.err.find(part), std::string::npos) << conflict.err;
  }
  const std::string history = cli.run("config history services/a" + kStore).out;
  EXPECT_LT(history.find("ali"), history.find("bina")) << history;
  EXPECT_EQ(cli.run("config get services/a --at 1" + kStore).out, stored);
  EXPECT_NE(cli.run("config diff " + mine + kStore).out.find("/priority  2       3"), std::string::npos);
}

/// A fault of the store while a second version is applied, and the expected exit code and output.
struct FaultCase {
  const char* name;
  StoreFaults faults;
  ExitCode code;
  const char* word;
};

/// Applies one version, then with faults a second version that is based on the first.
CommandResult applySecondVersion(const StoreFaults& faults) {
  CliFixture cli;
  const std::string file = cli.file("services/a", service(1));
  EXPECT_EQ(cli.run("config apply --save " + file + kStore).code, ExitCode::Done);
  std::ostringstream saved;
  saved << std::ifstream(file).rdbuf();
  cli.file("services/a", withChange(service(2), changeOf(saved.str())));
  cli.store.faults = faults;
  return cli.run("config apply " + file + kStore);
}

TEST(Cli, ApplyReportsTheOutcomeWhenTheStoreFails) {
  const std::vector<FaultCase> cases = {
      {"none", {}, ExitCode::Done, "accepted"},
      {"answer lost", {.lost_responses = 2}, ExitCode::Done, "accepted"},
      {"write late", {.late_writes = 2}, ExitCode::Done, "accepted"},
      {"store down", {.down = true}, ExitCode::Failed, "nothing was written"},
      {"writes lost", {.lost_writes = 1000}, ExitCode::Failed, "not-accepted"},
  };
  for (const FaultCase& fault : cases) {
    SCOPED_TRACE(fault.name);
    const CommandResult result = applySecondVersion(fault.faults);
    EXPECT_EQ(result.code, fault.code) << result.err;
    EXPECT_NE((result.out + result.err).find(fault.word), std::string::npos) << result.out << result.err;
  }
}

TEST(Cli, RetryWithTheChangeIdResolvesAnUnknownOutcome) {
  CliFixture cli;
  const std::string file = cli.file("services/a", service(1));
  cli.store.faults.lost_writes = 1000;
  const CommandResult unknown = cli.run("config apply " + file + kStore);
  EXPECT_EQ(unknown.code, ExitCode::Unknown) << unknown.err;
  ASSERT_NE(unknown.err.find("--change-id change-1"), std::string::npos) << unknown.err;
  cli.store.faults = {};
  cli.store.put(kObject, withChange(service(1), {"change-1", "tester", "t", 0}));  // the write arrives late
  const CommandResult again = cli.run("config apply --change-id change-1 " + file + kStore);
  EXPECT_EQ(again.code, ExitCode::Done);
  EXPECT_NE(again.out.find("accepted  1"), std::string::npos) << again.out;
}

/// The active version on each of two routers, and the expected result of `apply --wait`.
struct WaitCase {
  const char* name;
  SettingsVersion first;
  SettingsVersion second;
  ExitCode code;
  const char* word;
};

TEST(Cli, WaitSucceedsOnlyWhenAllRoutersHaveTheVersion) {
  const std::vector<WaitCase> cases = {{"in force everywhere", 1, 1, ExitCode::Done, "in force on 2 routers"},
                                       {"later in force", 2, 1, ExitCode::Done, "in force on 2 routers"},
                                       {"one behind", 1, 0, ExitCode::Failed, "not in force on node-2"}};
  for (const WaitCase& wait : cases) {
    SCOPED_TRACE(wait.name);
    CliFixture cli;
    cli.routers[{"127.0.0.1", 2}] = statusOf("node-1", wait.first);
    cli.routers[{"127.0.0.1", 3}] = statusOf("node-2", wait.second);
    const CommandResult result = cli.run("config apply " + cli.file("services/a", service(1)) + kStore +
                                         " --wait --wait-ms 1000 --operator 127.0.0.1:2 --operator 127.0.0.1:3");
    EXPECT_EQ(result.code, wait.code) << result.err;
    EXPECT_NE((result.out + result.err).find(wait.word), std::string::npos) << result.out << result.err;
    EXPECT_EQ(cli.store.versionsOf(kObject).size(), 1U);
  }
}

TEST(Cli, WaitReportsARouterThatDoesNotRespond) {
  CliFixture cli;
  const CommandResult result = cli.run("config apply " + cli.file("services/a", service(1)) + kStore +
                                       " --wait --wait-ms 1000 --operator 127.0.0.1:2");
  EXPECT_EQ(result.code, ExitCode::Failed);
  EXPECT_NE(result.err.find("127.0.0.1:2 (no answer)"), std::string::npos) << result.err;
}

TEST(Cli, GetEffectivePrintsValuesWithTheirSources) {
  CliFixture cli;
  cli.store.put("settings/deployment", R"({"service":{"priority":32}})");
  cli.store.put(kObject, R"({"path_prefix":"/a/","backends":{"b":{"slots":2}}})");
  const OrderedJson values = OrderedJson::parse(cli.run("config get a --effective --json" + kStore).out);
  for (const char* row : {R"({"setting":"/priority","value":"32","from":"deployment"})",
                          R"({"setting":"/backends/b/slots","value":"2","from":"services/a/backends/b"})",
                          R"({"setting":"/retry/attempts","value":"3","from":"default"})"}) {
    EXPECT_NE(values.dump().find(row), std::string::npos) << row << " not in " << values.dump();
  }
  EXPECT_EQ(cli.run("config get services/none" + kStore).code, ExitCode::Failed);
  EXPECT_EQ(cli.run("config get none --effective" + kStore).code, ExitCode::Findings);
}

}  // namespace
}  // namespace shedlever::test
