/// @file
/// Requests and commands to the local server: which connections they use, and which responses count for them.

#include "source/router/server_client.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

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

  /// Sends a release and waits for its result.
  CommandStatus release() {
    std::optional<CommandStatus> result;
    client_.release({0, 9, 1, InstanceId("i-1")},
                    [&result](const ReleaseResult& released) { result = released.status; });
    EXPECT_TRUE(loop_.runUntil([&result] { return result.has_value(); }, kTestTimeout));
    return result.value_or(CommandStatus::NoAnswer);
  }

  /// Sends a health check and waits for the id in its response.
  ServerId identify() {
    std::optional<ServerId> result;
    client_.checkHealth("/health", [&result](const HealthCheckResult& check) { result = check.server; });
    EXPECT_TRUE(loop_.runUntil([&result] { return result.has_value(); }, kTestTimeout));
    return result.value_or(ServerId());
  }

  EventLoop loop_;
  /// Further header lines of each response.
  std::string more_headers_;
  /// Accepts all commands and keeps its connections open.
  ScriptedServer server_{
      loop_, [this](ScriptedConnection& connection) {
        if (isCompleteRequest(connection.received)) {
          const std::string id = headerOf(connection.received, "X-Request-Id");
          connection.received.clear();
          connection.write(httpResponseText(200, "X-Request-Id: " + id + "\r\n" + more_headers_, "{}"));
        }
      }};
  platform::ServerProtocolImpl protocol_;
  ServerClient client_{loop_, {NodeName("node"), Incarnation{1}}, server_.endpoint(), protocol_};
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

// Guards against keys that move, or servers that are recognized, by a response that may belong to something else.
TEST_F(ServerClientTest, BrokenResponseToACommandOrHealthCheckCountsAsNone) {
  more_headers_ = "X-Instance-Id: i-1\r\n";
  EXPECT_EQ(grant("i-1"), CommandStatus::Done);
  EXPECT_EQ(release(), CommandStatus::Done);
  EXPECT_EQ(identify(), ServerId("i-1"));
  for (const char* broken : {"X-A\x01: b\r\n", "X-A: b\rc\r\n", "X A: b\r\n"}) {
    more_headers_ = std::string("X-Instance-Id: i-1\r\n") + broken;
    EXPECT_EQ(grant("i-1"), CommandStatus::NoAnswer);
    EXPECT_EQ(release(), CommandStatus::NoAnswer);
    EXPECT_EQ(identify(), ServerId());
  }
}

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

/// A server that may send a copy of an earlier response in the place of the one that is due.
class SurplusResponseTest : public ::testing::Test {
 protected:
  /// The server's response to a request, with its headers besides the id.
  struct Script {
    int status = kOk;
    std::string headers;
  };

  void serve(ScriptedConnection& connection) {
    if (!isCompleteRequest(connection.received)) {
      return;
    }
    ids_received_.push_back(headerOf(connection.received, "X-Request-Id"));
    const std::string id = returns_ids_ ? headerOf(connection.received, "X-Request-Id") : std::string();
    connection.received.clear();
    const Script script = scripts_.at(served_++);
    const std::string id_header = id.empty() ? "" : "X-Request-Id: " + id + "\r\n";
    const std::string response =
        httpResponseText(script.status, id_header + "X-Instance-Id: i-1\r\n" + script.headers, "");
    std::string& last_response = last_responses_[&connection];
    connection.write(last_response.empty() ? response : last_response);
    last_response = response;
  }

  ServerResult send(const std::string& id) {
    std::optional<ServerResult> result;
    ServerRequest request;
    request.http = {"GET", "/x", {}, {}};
    request.head = {RequestId(id), InstanceId("i-1"), std::chrono::seconds(5), ServiceName("front"), Key{7}};
    client_.send(std::move(request), [&result](ServerResult ended) { result = std::move(ended); });
    EXPECT_TRUE(loop_.runUntil([&result] { return result.has_value(); }, kTestTimeout));
    return result.value_or(ServerResult());
  }

  CommandStatus grant(std::uint64_t token) {
    std::optional<CommandStatus> result;
    client_.grant({0, 9, token, std::chrono::milliseconds(100), {}, InstanceId("i-1")},
                  [&result](CommandStatus status) { result = status; });
    EXPECT_TRUE(loop_.runUntil([&result] { return result.has_value(); }, kTestTimeout));
    return result.value_or(CommandStatus::NoAnswer);
  }

  ReleaseResult release(std::uint64_t token) {
    std::optional<ReleaseResult> result;
    client_.release({0, 9, token, InstanceId("i-1")}, [&result](const ReleaseResult& ended) { result = ended; });
    EXPECT_TRUE(loop_.runUntil([&result] { return result.has_value(); }, kTestTimeout));
    return result.value_or(ReleaseResult());
  }

  EventLoop loop_;
  bool returns_ids_ = true;
  /// Responses in the order of the requests.
  std::vector<Script> scripts_;
  std::size_t served_ = 0;
  std::vector<std::string> ids_received_;
  std::map<ScriptedConnection*, std::string> last_responses_;
  ScriptedServer server_{loop_, [this](ScriptedConnection& connection) { serve(connection); }};
  platform::ServerProtocolImpl protocol_;
  ServerClient client_{loop_, {NodeName("node"), Incarnation{1}}, server_.endpoint(), protocol_};
};

const char* const kNotExecuted = "X-Not-Executed: 1\r\n";

// Guards against a request that runs twice: it was sent again over the connection of its refusal, and a late copy of
// the refusal, which has the same id, counted as the response to the second send.
TEST_F(SurplusResponseTest, RefusedRequestSentAgainIsNotAnsweredByACopyOfTheRefusal) {
  scripts_ = {{kUnavailable, kNotExecuted}, {kOk, "X-Response-Seal: s\r\n"}};
  EXPECT_EQ(send("r1").reason, ForwardReason::ServerRefused);
  EXPECT_EQ(send("r1").outcome, ForwardOutcome::Answered);
}

TEST_F(SurplusResponseTest, RequestForAMissingKeySentAgainIsNotAnsweredByACopyOfTheRefusal) {
  scripts_ = {{kMisdirected, kNotExecuted}, {kOk, "X-Response-Seal: s\r\n"}};
  EXPECT_EQ(send("r1").reason, ForwardReason::NotOwner);
  EXPECT_EQ(send("r1").outcome, ForwardOutcome::Answered);
}

// As above, with a server whose refusals have no id: a refusal that may be a copy is no proof that the request has not
// run.
TEST_F(SurplusResponseTest, RefusalWithoutIdDoesNotAnswerALaterRequest) {
  returns_ids_ = false;
  scripts_ = {{kUnavailable, kNotExecuted}, {kMisdirected, kNotExecuted}};
  EXPECT_EQ(send("r1").reason, ForwardReason::ServerRefused);
  EXPECT_EQ(send("r2").reason, ForwardReason::NotOwner);
}

// Guards against keys that move while their owner still works on them: a copy of the response to a grant, or to an
// earlier release, counted as the response to a release.
TEST_F(SurplusResponseTest, ReleaseIsNotAnsweredByACopyOfAnEarlierResponse) {
  for (const bool returns_ids : {true, false}) {
    returns_ids_ = returns_ids;
    served_ = 0;
    scripts_ = {{kOk, ""}, {kOk, "X-Handover: h1\r\n"}, {kOk, "X-Handover: h2\r\n"}};
    grant(1);
    EXPECT_EQ(release(2).handover, "h1");
    EXPECT_EQ(release(3).handover, "h2");
  }
}

TEST_F(SurplusResponseTest, GrantIsNotAnsweredByACopyOfTheResponseToAnEarlierGrant) {
  scripts_ = {{kOk, ""}, {409, ""}};
  EXPECT_EQ(grant(1), CommandStatus::Done);
  EXPECT_EQ(grant(2), CommandStatus::NoAnswer);
}

// Guards against a hold that counts as refused though the server has taken it: a copy of an earlier refusal.
TEST_F(SurplusResponseTest, GrantIsNotAnsweredByACopyOfASupersededOneWithoutAnId) {
  returns_ids_ = false;
  scripts_ = {{409, ""}, {kOk, ""}};
  EXPECT_EQ(grant(1), CommandStatus::Superseded);
  EXPECT_EQ(grant(2), CommandStatus::Done);
}

TEST_F(SurplusResponseTest, GrantIsNotAnsweredByACopyOfAnotherInstancesRefusalWithoutAnId) {
  returns_ids_ = false;
  scripts_ = {{kMisdirected, kNotExecuted}, {kOk, ""}};
  EXPECT_EQ(grant(1), CommandStatus::NoAnswer);
  EXPECT_EQ(grant(2), CommandStatus::Done);
}

// A health check has no id, as a server might run a request that has one, and so has a connection of its own.
TEST_F(SurplusResponseTest, HealthCheckIsNotAnsweredByACopyOfTheResponseToAnEarlierOne) {
  scripts_ = {{kOk, ""}, {kUnavailable, ""}};
  std::vector<std::string> servers;
  for (std::size_t checks = 1; checks <= 2; ++checks) {
    client_.checkHealth("/health",
                        [&servers](const HealthCheckResult& check) { servers.push_back(check.server.value); });
    ASSERT_TRUE(loop_.runUntil([&servers, checks] { return servers.size() == checks; }, kTestTimeout));
  }
  EXPECT_EQ(servers, (std::vector<std::string>{"i-1", "i-1"}));
  EXPECT_EQ(server_.accepted(), 2U);
  EXPECT_EQ(ids_received_, (std::vector<std::string>{"", ""}));
}

// A connection for each grant would cost the server a slot each time.
TEST_F(SurplusResponseTest, GrantsToAServerWithoutIdsShareAConnection) {
  returns_ids_ = false;
  scripts_ = {{kOk, ""}, {kOk, ""}};
  EXPECT_EQ(grant(1), CommandStatus::Done);
  EXPECT_EQ(grant(2), CommandStatus::Done);
  EXPECT_EQ(server_.accepted(), 1U);
}

}  // namespace
}  // namespace shedlever::test
