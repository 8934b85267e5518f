/// @file
/// Commands to the local server: which connections they use.

#include "source/router/server_client.h"

#include <gtest/gtest.h>

#include "platform/server_protocol.h"
#include "test/support/scripted_server.h"

namespace shedlever::test {
namespace {

class ServerClientTest : public ::testing::Test {
 protected:
  /// Sends a grant and waits for its result.
  CommandStatus grant(const std::string& instance) {
    std::optional<CommandStatus> result;
    client_.grant({0, 9, 1, std::chrono::milliseconds(100), {}, InstanceId(instance)},
                  [&result](CommandStatus status) { result = status; });
    EXPECT_TRUE(loop_.runUntil([&result] { return result.has_value(); }, kTestTimeout));
    return result.value_or(CommandStatus::NoAnswer);
  }

  EventLoop loop_;
  /// Accepts all commands and keeps its connections open.
  ScriptedServer server_{loop_, [](ScriptedConnection& connection) {
                           if (isCompleteRequest(connection.received)) {
                             connection.received.clear();
                             connection.write(httpResponseText(200, "", "{}"));
                           }
                         }};
  platform::ServerProtocolImpl protocol_;
  ServerClient client_{loop_, server_.endpoint(), protocol_};
};

TEST_F(ServerClientTest, CommandsForOneInstanceShareAConnection) {
  EXPECT_EQ(grant("i-1"), CommandStatus::Done);
  EXPECT_EQ(grant("i-1"), CommandStatus::Done);
  EXPECT_EQ(server_.accepted(), 1U);
}

// Guards against commands for a new instance that go to its predecessor, which still works on its open connections.
TEST_F(ServerClientTest, CommandForANewInstanceUsesANewConnection) {
  EXPECT_EQ(grant("i-1"), CommandStatus::Done);
  EXPECT_EQ(grant("i-2"), CommandStatus::Done);
  EXPECT_EQ(server_.accepted(), 2U);
}

}  // namespace
}  // namespace shedlever::test
