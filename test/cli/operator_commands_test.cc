#include <gtest/gtest.h>

#include "source/core/history/journal_text.h"
#include "test/cli/cli_bench.h"

namespace shedlever::test {
namespace {

const Endpoint kFirst{"127.0.0.1", 1};
const Endpoint kLeader{"127.0.0.2", 2};

OperatorAnswer answer(int status, const OrderedJson& json) {
  return {OperatorCallStatus::Answered, status, json.dump()};
}

/// Answers like a process that does not lead.
FakeDaemon follower(const std::optional<Endpoint>& leader) {
  return [leader](const std::string&, const std::string& target) {
    ProcessStatus status;
    status.self.name = NodeName("c-1");
    status.control = ControlStatus{};
    return target == "/status" ? answer(200, statusJson(status, TimePoint())) : answer(503, notLeaderJson(leader));
  };
}

SliceAssignment slice() {
  return {{0, kLastPoint}, SlicePhase::Owned, {3, 17}, {3, 18}, {NodeName("a-1"), {7}}, {"127.0.0.1", 7000}};
}

FakeDaemon leader() {
  return [](const std::string& method, const std::string& target) {
    ProcessStatus status;
    status.self.name = NodeName("c-2");
    status.roles = {"control"};
    status.control = ControlStatus{};
    status.control->leader = true;
    status.control->servers = {
        {{{NodeName("a-1"), {7}}, ServiceName("talash"), ZoneName("z"), {"127.0.0.1", 1}, true}, true, 64, 12}};
    if (target == "/status") {
      return answer(200, statusJson(status, TimePoint()));
    }
    if (target == "/owners") {
      return answer(200, ownersJson({{ServiceName("talash"), slice(), Durability::Checkpointed}}));
    }
    if (target == "/plan") {
      return answer(200, planJson({{ServiceName("talash"), {{}, {{slice(), {NodeName("a-2"), {8}}}}, {}, {}}}}));
    }
    const bool known = method == "POST" && target == "/drain?server=a-1";
    return known ? answer(200, commandJson({CommandStatus::Done, "", std::nullopt}))
                 : answer(409, commandJson({CommandStatus::Rejected, "no such server", std::nullopt}));
  };
}

/// A command, and what it must print when any daemon is named.
struct CommandCase {
  const char* line;
  ExitCode code;
  const char* printed;
};

TEST(Cli, FollowsTheHintToTheLeader) {
  const std::vector<CommandCase> cases = {
      {"owners", ExitCode::Done, "100.000%  owned  a-1    3.17   checkpointed"},
      {"owners --json", ExitCode::Done, "\"token\": \"3.17\""},
      {"plan", ExitCode::Done, "a-1   a-2"},
      {"status", ExitCode::Done, "a-1     talash   z     valid  64      12          yes"},
      {"status --json", ExitCode::Done, "\"node\": \"c-1\""},
      {"drain a-1", ExitCode::Done, "a-1 is draining"},
      {"drain a-9", ExitCode::Failed, "no such server"},
  };
  CliBench bench;
  bench.daemons = {{kFirst, follower(kLeader)}, {kLeader, leader()}};
  for (const CommandCase& command : cases) {
    SCOPED_TRACE(command.line);
    const CommandResultText result = bench.run(std::string(command.line) + " --operator 127.0.0.1:1");
    EXPECT_EQ(result.code, command.code) << result.err;
    EXPECT_NE((result.out + result.err).find(command.printed), std::string::npos) << result.out << result.err;
  }
}

/// How a drain ends when the leader is not there to answer it.
struct DrainCase {
  const char* name;
  FakeDaemon daemon;
  ExitCode code;
};

TEST(Cli, DrainIsUnknownOnlyWhenItMayHaveArrived) {
  const auto lost = [](const std::string&, const std::string&) { return OperatorAnswer{}; };
  const auto garbage = [](const std::string&, const std::string&) { return answer(200, "?"); };
  const auto fell = [](const std::string&, const std::string&) {
    return answer(504, commandJson({CommandStatus::Unknown, "the leader fell", std::nullopt}));
  };
  const std::vector<DrainCase> cases = {{"answer lost", lost, ExitCode::Unknown},
                                        {"leader fell", fell, ExitCode::Unknown},
                                        {"no leader", follower(std::nullopt), ExitCode::Failed},
                                        {"hint to itself", follower(kFirst), ExitCode::Failed},
                                        {"hint to nobody", follower(kLeader), ExitCode::Failed},
                                        {"not understood", garbage, ExitCode::Unknown}};
  for (const DrainCase& drain : cases) {
    SCOPED_TRACE(drain.name);
    CliBench bench;
    bench.daemons = {{kFirst, drain.daemon}};
    EXPECT_EQ(bench.run("drain a-1 --operator 127.0.0.1:1").code, drain.code);
  }
  CliBench bench;
  EXPECT_EQ(bench.run("drain a-1 --operator 127.0.0.1:1").code, ExitCode::Failed);
  EXPECT_EQ(bench.run("drain --operator 127.0.0.1:1 --operator 127.0.0.1:3").code, ExitCode::Findings);
}

std::string ran(TimePoint::rep time, const char* request) {
  const ServerRan event{RequestId(request), ServiceName("s"), 5, {1, 1}, IdempotencyKey("k"), 7};
  return journalLine({{NodeName("a-1"), {1}}, time, event}) + "\n";
}

TEST(Cli, CheckHistoryShowsViolations) {
  CliBench bench;
  const std::string first = bench.file("first", ran(1, "g1-1-a"));
  const std::string second = bench.file("second", ran(2, "g1-1-b"));
  EXPECT_EQ(bench.run("check-history " + first + " --once-only s").code, ExitCode::Done);
  EXPECT_EQ(bench.run("check-history " + first + " " + second).code, ExitCode::Done);
  const CommandResultText result = bench.run("check-history " + first + " " + second + " --once-only s");
  EXPECT_EQ(result.code, ExitCode::Failed);
  EXPECT_NE(result.out.find("ran-twice"), std::string::npos) << result.out << result.err;
  EXPECT_EQ(result.err, "2 entries, 1 violations\n");
  EXPECT_EQ(bench.run("check-history " + first + " nowhere.json").code, ExitCode::Findings);
  EXPECT_EQ(bench.run("check-history " + bench.file("broken", "{")).code, ExitCode::Findings);
}

TEST(OperatorCommands, ExplainShowsARequestsWay) {
  CliBench bench;
  const std::string a = bench.file(
      "a", "gateway: event=refused at_ms=10000 t_us=1 id=r1 status=503 node=b reason=overloaded held_ms=2\n");
  const std::string b = bench.file("b", "server: event=silent at_ms=9000 t_us=1 instance=i-1\n");
  const CommandResultText result = bench.run("explain r1 " + a + " " + b);
  EXPECT_EQ(result.code, ExitCode::Done);
  EXPECT_NE(result.out.find("the server's queue was too long"), std::string::npos) << result.out;
  EXPECT_NE(result.out.find("server silent"), std::string::npos) << result.out;
  EXPECT_EQ(bench.run("explain r9 " + a).code, ExitCode::Failed);
  EXPECT_EQ(bench.run("explain r1 nowhere.log").code, ExitCode::Findings);
}

}  // namespace
}  // namespace shedlever::test
