/// @file
/// Commands that call routers.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "test/cli/cli_fixture.h"

namespace shedlever::test {
namespace {

using ::testing::HasSubstr;

const Endpoint kRouter{"127.0.0.1", 2};

FakeRouter routerWithStatus(const NodeStatus& status) {
  return [status](const std::string&, const std::string& target) {
    return target == "/status" ? OperatorResponse{OperatorCallStatus::Answered, 200, encodeNodeStatus(status)}
                               : OperatorResponse{OperatorCallStatus::Answered, 404, ""};
  };
}

TEST(OperatorCommandsTest, QuarantinePrintsFingerprintsWithCrashedInstances) {
  CliFixture cli;
  NodeStatus status;
  status.node.name = NodeName("node-1");
  status.quarantined.push_back({"00ff", std::chrono::seconds(90), {InstanceId("i-1"), InstanceId("i-2")}});
  status.quarantined.push_back({"00ee", std::chrono::seconds(7), {}});
  cli.routers[kRouter] = routerWithStatus(status);
  const CommandResult result = cli.run("quarantine --operator 127.0.0.1:2");
  EXPECT_EQ(result.code, ExitCode::Done) << result.err;
  EXPECT_THAT(result.out, HasSubstr("00ff"));
  EXPECT_THAT(result.out, HasSubstr("90000"));
  EXPECT_THAT(result.out, HasSubstr("i-1,i-2"));
  EXPECT_THAT(result.out, HasSubstr("00ee"));
}

TEST(OperatorCommandsTest, QuarantineFailsWhenARouterDoesNotRespond) {
  CliFixture cli;
  const CommandResult result = cli.run("quarantine --operator 127.0.0.1:2");
  EXPECT_EQ(result.code, ExitCode::Failed);
  EXPECT_THAT(result.err, HasSubstr("no status from 127.0.0.1:2"));
}

}  // namespace
}  // namespace shedlever::test
