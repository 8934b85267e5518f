/// @file
/// Tests of the platform adapters: headers, paths and bodies of its protocols, and its store.

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "platform/client_protocol.h"
#include "platform/config_protocol.h"
#include "platform/platform_store.h"
#include "platform/report_protocol.h"
#include "platform/server_protocol.h"
#include "source/core/router/duration_format.h"
#include "source/net/http_headers.h"

namespace shedlever::platform::test {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(DurationTextTest, ParsesNumbersWithUnit) {
  EXPECT_EQ(parseDuration("1500ms"), milliseconds(1500));
  EXPECT_EQ(parseDuration("2.5s"), milliseconds(2500));
  EXPECT_EQ(parseDuration("0ms"), milliseconds(0));
  for (const char* text : {"", "ms", "5", "-1s", "5m", "1500 ms", "nans", "1e99s", "s5"}) {
    EXPECT_FALSE(parseDuration(text)) << text;
  }
  EXPECT_EQ(formatDuration(std::chrono::microseconds(1999)), "1ms");
}

TEST(ClientProtocolTest, ReadsIdDeadlineAndKey) {
  const ClientProtocolImpl protocol;
  const HttpRequest request{
      "GET", "/", {{"x-request-id", "r1"}, {"X-Request-Deadline", "2000"}, {"X-Shard-Key", "65535"}}, {}};
  const ClientRequestInfo info = protocol.readRequestInfo(request, {}, nullptr, nullptr);
  EXPECT_EQ(protocol.requestIdOf(request).value, "r1");
  EXPECT_EQ(info.refusal, Reason::None);
  EXPECT_EQ(info.time_left, milliseconds(2000));
  EXPECT_EQ(info.key, 65535);
  const ClientRequestInfo invalid = protocol.readRequestInfo(
      {"GET", "/", {{"X-Request-Deadline", "soon"}, {"X-Shard-Key", "65536"}}, {}}, {}, nullptr, nullptr);
  EXPECT_FALSE(invalid.time_left);
  EXPECT_FALSE(invalid.key);
}

struct RefusalRow {
  Outcome outcome;
  Reason reason;
  int status;
  const char* retry_after;
};

TEST(ClientProtocolTest, RefusalStatusIs503OnlyIfRequestWasNotRun) {
  const std::vector<RefusalRow> rows = {{Outcome::NotRun, Reason::Overloaded, 503, "0.250"},
                                        {Outcome::NotRun, Reason::ConnectionLost, 503, "0.250"},
                                        {Outcome::NotRun, Reason::DeadlineExceeded, 503, "0.250"},
                                        {Outcome::NotRun, Reason::UnknownService, 404, ""},
                                        {Outcome::Unknown, Reason::DeadlineExceeded, 504, ""},
                                        {Outcome::Unknown, Reason::ConnectionLost, 502, ""},
                                        {Outcome::Unknown, Reason::BadReply, 502, ""}};
  const ClientProtocolImpl protocol;
  for (const RefusalRow& row : rows) {
    const HttpResponse answer =
        protocol.makeRefusalResponse({RequestId("r1"), row.outcome, row.reason, milliseconds(250)});
    EXPECT_EQ(answer.status, row.status) << toString(row.reason);
    EXPECT_EQ(headerValue(answer.headers, "Retry-After"), row.retry_after) << toString(row.reason);
  }
}

TEST(ServerProtocolTest, ReplacesForgedRouterHeaders) {
  const ServerProtocolImpl protocol;
  HttpRequest request{"GET",
                      "/",
                      {{"X-Request-Id", "r1"},
                       {"X-Caller-Service", "forged"},
                       {"X-Request-Deadline", "9999"},
                       {"X-Shard-Key", "1"},
                       {"X-Shard-Key", "2"},
                       {"A", "b"}},
                      {}};
  protocol.setRouterHeaders(
      request, {RequestId("r1"), InstanceId("i-1"), std::chrono::microseconds(1'500'900), ServiceName("maps"), Key{7}});
  EXPECT_EQ(headerValue(request.headers, "X-Request-Id"), "r1");
  EXPECT_EQ(headerValue(request.headers, "X-Shard-Key"), "7");
  EXPECT_EQ(headerValue(request.headers, "X-Caller-Service"), "maps");
  EXPECT_EQ(headerValue(request.headers, "X-Request-Deadline"), "1500");
  EXPECT_EQ(headerValue(request.headers, "X-Expect-Instance"), "i-1");
  EXPECT_EQ(headerValue(request.headers, "A"), "b");
  EXPECT_EQ(request.headers.size(), 6U);
}

struct AnswerRow {
  const char* name;
  HttpResponse answer;
  bool keyed;
  AnswerKind kind;
};

TEST(ServerProtocolTest, ClassifiesResponses) {
  const HttpHeader id{"X-Request-Id", "r1"};
  const HttpHeader seal{"X-Response-Seal", "s"};
  const HttpHeader not_run{"X-Not-Executed", "1"};
  const std::vector<AnswerRow> rows = {
      {"success", {200, {id, seal}, "b"}, false, AnswerKind::Answer},
      {"failure reported by the server", {500, {id, seal}, {}}, false, AnswerKind::Answer},
      {"success without seal", {200, {id}, "b"}, false, AnswerKind::Broken},
      {"success without id", {200, {seal}, "b"}, false, AnswerKind::Broken},
      {"response to another request", {200, {{"X-Request-Id", "r2"}, seal}, "b"}, false, AnswerKind::Broken},
      {"failure of another request", {500, {{"X-Request-Id", "r2"}}, {}}, false, AnswerKind::Broken},
      {"encoded", {200, {id, seal, {"Content-Encoding", "gzip"}}, "b"}, false, AnswerKind::Broken},
      {"not executed", {503, {id, not_run}, {}}, false, AnswerKind::NotRun},
      {"503 that may have run", {503, {id}, {}}, false, AnswerKind::Answer},
      {"another instance", {421, {id, {"X-Instance-Id", "i-2"}}, {}}, true, AnswerKind::WrongInstance},
      {"key not held", {421, {id, not_run, {"X-Instance-Id", "i-1"}}, {}}, true, AnswerKind::KeyNotHeld},
      {"421 without a key", {421, {id, {"X-Instance-Id", "i-1"}}, {}}, false, AnswerKind::WrongInstance}};
  const ServerProtocolImpl protocol;
  for (const AnswerRow& row : rows) {
    EXPECT_EQ(protocol.classify(row.answer, RequestId("r1"), InstanceId("i-1"), row.keyed), row.kind) << row.name;
  }
}

struct LimitRow {
  const char* text;
  std::optional<double> limit;
};

// Guards against a limit that is misread: a wrong number would overload the server or starve its callers.
TEST(ServerProtocolTest, ReadsNamedLimitOnlyIfItIsANumberThatIsNotNegative) {
  const std::vector<LimitRow> rows = {{"15.6", 15.6}, {"0", 0},    {"0.25", 0.25}, {"1e300", 1e300},
                                      {"-1", {}},     {"", {}},    {"many", {}},   {"5/s", {}},
                                      {"nan", {}},    {"inf", {}}, {"1e999", {}}};
  const ServerProtocolImpl protocol;
  for (const LimitRow& row : rows) {
    const ServerCondition condition = protocol.conditionOf({200, {{"server-limit", row.text}}, {}});
    EXPECT_EQ(condition.request_limit, row.limit) << row.text;
    EXPECT_EQ(condition.invalid_limit, !row.limit) << row.text;
    EXPECT_FALSE(condition.leaving);
  }
  const ServerCondition none = protocol.conditionOf({200, {}, {}});
  EXPECT_FALSE(none.request_limit || none.invalid_limit || none.leaving);
}

TEST(ServerProtocolTest, ReadsThatTheServerIsLeaving) {
  const ServerProtocolImpl protocol;
  EXPECT_TRUE(protocol.conditionOf({503, {{"Server-Leaving", "1"}}, {}}).leaving);
  EXPECT_FALSE(protocol.conditionOf({200, {{"Server-Leaving", "0"}}, {}}).leaving);
}

struct HealthRow {
  const char* name;
  HttpResponse answer;
  ServerHealth health;
};

// Guards against a full server that counts as leaving, and a leaving one that counts as serving.
TEST(ServerProtocolTest, HealthCheckRejectedForWantOfASlotSaysNothing) {
  const HttpHeader instance{"X-Instance-Id", "i-1"};
  const std::vector<HealthRow> rows = {
      {"healthy", {200, {instance}, {}}, ServerHealth::Serving},
      {"healthy, closes the connection", {200, {instance, {"Connection", "close"}}, {}}, ServerHealth::Serving},
      {"leaving or failing", {503, {instance}, {}}, ServerHealth::NotServing},
      {"full", {503, {instance, {"X-Not-Executed", "1"}}, {}}, ServerHealth::Unknown},
      {"too many requests", {429, {{"X-Not-Executed", "1"}}, {}}, ServerHealth::Unknown},
      {"no health check at this path", {404, {instance}, {}}, ServerHealth::Unknown},
      {"broken", {500, {instance}, {}}, ServerHealth::Unknown}};
  const ServerProtocolImpl protocol;
  for (const HealthRow& row : rows) {
    EXPECT_EQ(protocol.healthOf(row.answer), row.health) << row.name;
  }
}

TEST(ServerProtocolTest, EncodesCommandsAndDecodesTheirResponses) {
  const ServerProtocolImpl protocol;
  const InstanceId instance("i-1/1700");
  const HttpRequest grant = protocol.grantRequest({4096, 8191, 12, milliseconds(4000), "paper", instance});
  EXPECT_EQ(grant.method + " " + grant.target, "POST /grant");
  EXPECT_EQ(json::parse(grant.body), json::parse(R"({"rangeStart":4096,"targetVersion":8191,"fence":12,
                                                     "hold_time":"4000ms","handover":"paper"})"));
  EXPECT_FALSE(json::parse(protocol.grantRequest({0, 1, 1, milliseconds(1), {}}).body).contains("handover"));
  const HttpRequest release = protocol.releaseRequest({1, 2, 3, instance});
  EXPECT_EQ(json::parse(release.body), json::parse(R"({"rangeStart":1,"targetVersion":2,"fence":3})"));
  EXPECT_EQ(protocol.commandStatus({200, {}, {}}, instance), CommandStatus::Done);
  EXPECT_EQ(protocol.commandStatus({409, {}, {}}, instance), CommandStatus::Superseded);
  EXPECT_EQ(protocol.commandStatus({400, {}, {}}, instance), CommandStatus::NoAnswer);
  EXPECT_EQ(protocol.handoverOf({200, {{"X-Handover", "h"}}, {}}), "h");
}

// Guards against commands that another instance at the server's address executes.
TEST(ServerProtocolTest, CommandsNameTheServerThatTheyAreFor) {
  const ServerProtocolImpl protocol;
  const InstanceId instance("i-1/1700");
  const HttpRequest grant = protocol.grantRequest({0, 9, 1, milliseconds(100), {}, instance});
  const HttpRequest release = protocol.releaseRequest({0, 9, 2, instance});
  EXPECT_EQ(headerValue(grant.headers, "X-Expect-Instance"), "i-1");
  EXPECT_EQ(headerValue(release.headers, "X-Expect-Instance"), "i-1");
  EXPECT_EQ(protocol.commandStatus({421, {}, {}}, instance), CommandStatus::WrongInstance);
  EXPECT_EQ(protocol.commandStatus({421, {{"X-Instance-Id", "i-2"}}, {}}, instance), CommandStatus::WrongInstance);
  EXPECT_EQ(protocol.commandStatus({421, {{"X-Instance-Id", "i-1"}}, {}}, instance), CommandStatus::NoAnswer);
}

HttpRequest report(const std::string& path, const std::string& body) { return {"POST", path, {}, body}; }

TEST(ReportProtocolTest, ParsesHeartbeatsAndDeregistrations) {
  const ReportProtocolImpl protocol;
  const auto heartbeat = protocol.readReport(
      report("/instances/i-7/heartbeat", R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",
              "slots":18,"state":"draining","coldRemaining":"0ms","callSeq":4,"new":1})"));
  ASSERT_TRUE(heartbeat);
  EXPECT_EQ(heartbeat->instance.value, "i-7");
  EXPECT_EQ(heartbeat->address, (Endpoint{"10.0.0.1", 80}));
  EXPECT_EQ(heartbeat->slots, 18U);
  EXPECT_TRUE(heartbeat->draining);
  EXPECT_EQ(heartbeat->sequence, 4U);
  EXPECT_FALSE(heartbeat->leaving);
  const auto deregistration = protocol.readReport(report("/instances/i-7/deregister", ""));
  ASSERT_TRUE(deregistration);
  EXPECT_TRUE(deregistration->leaving);
  for (const HttpRequest& invalid :
       {report("/instances//heartbeat", "{}"), report("/instances/i/heartbeat", "x"), report("/instances/i/x", "{}"),
        report("/instances/i/j/heartbeat", R"({"service":"s","address":"10.0.0.1:80","slots":1})"),
        report("/instances/i/heartbeat", R"({"service":"s","address":"nowhere","slots":1})"),
        HttpRequest{"GET", "/instances/i/deregister", {}, {}}}) {
    EXPECT_FALSE(protocol.readReport(invalid)) << invalid.target;
  }
}

TEST(ReportProtocolTest, InstanceIsIdentifiedByServerIdAndStartTime) {
  const ReportProtocolImpl protocol;
  const std::string rest = R"("service":"s","address":"10.0.0.1:80","slots":18,"state":"ready","callSeq":4})";
  const auto heartbeat = protocol.readReport(report("/instances/i-7/heartbeat", R"({"born":1778512004964,)" + rest));
  ASSERT_TRUE(heartbeat);
  EXPECT_EQ(heartbeat->start, 1778512004964U);
  EXPECT_EQ(heartbeat->instance, instanceIdOf(ServerId("i-7"), 1778512004964U));
  const auto deregistration = protocol.readReport(report("/instances/i-7/deregister", R"({"born":1778512004964})"));
  ASSERT_TRUE(deregistration);
  EXPECT_EQ(deregistration->instance, heartbeat->instance);
  for (const char* start : {R"("17")", "1.5", "-3", "null", "[]"}) {
    EXPECT_FALSE(
        protocol.readReport(report("/instances/i-7/heartbeat", R"({"born":)" + std::string(start) + "," + rest)))
        << start;
  }
}

// A server knows only its id, so the start time in an instance id must not be sent to it or expected from it.
TEST(ServerProtocolTest, RequestsAndResponsesUseServerIdWithoutStartTime) {
  const ServerProtocolImpl protocol;
  const InstanceId instance = instanceIdOf(ServerId("i-1"), 1778512004964U);
  HttpRequest request;
  protocol.setRouterHeaders(request, {RequestId("r1"), instance, seconds(1), ServiceName("c"), std::nullopt});
  EXPECT_EQ(headerValue(request.headers, "X-Expect-Instance"), "i-1");
  const HttpResponse not_held{421, {{"X-Request-Id", "r1"}, {"X-Not-Executed", "1"}, {"X-Instance-Id", "i-1"}}, {}};
  EXPECT_EQ(protocol.classify(not_held, RequestId("r1"), instance, true), AnswerKind::KeyNotHeld);
  EXPECT_EQ(protocol.serverIdOf({200, {{"X-Instance-Id", "i-1"}}, {}}), serverIdOf(instance));
}

TEST(ReportProtocolTest, ParsesKeysOfHeartbeat) {
  const ReportProtocolImpl protocol;
  const auto plain = protocol.readReport(report(
      "/instances/i-7/heartbeat", R"({"service":"s","address":"10.0.0.1:80","slots":1,"state":"ready","callSeq":4})"));
  ASSERT_TRUE(plain);
  EXPECT_FALSE(plain->keys);
  const auto heartbeat =
      protocol.readReport(report("/instances/i-7/heartbeat", R"({"service":"s","address":"10.0.0.1:80",
      "slots":1,"state":"ready","callSeq":4,"holds":[[0,4095,7]],"released":[[4096,8191,"5c0e"]]})"));
  ASSERT_TRUE(heartbeat && heartbeat->keys);
  EXPECT_EQ(heartbeat->keys->held, (std::vector<ReportedRange>{{0, 4095, 7}}));
  ASSERT_EQ(heartbeat->keys->released.size(), 1U);
  EXPECT_EQ(heartbeat->keys->released.front().handover, "5c0e");
}

// If a malformed row were skipped, its keys would count as released while the server still serves them.
TEST(ReportProtocolTest, HeartbeatWithMalformedKeyRowIsRejected) {
  const ReportProtocolImpl protocol;
  const std::string start = R"({"service":"s","address":"10.0.0.1:80","slots":1,"state":"ready","callSeq":4,)";
  for (const char* row : {"[9,3,1]", "[70000,70001,2]", "[1,2]", R"([1,2,"x"])", R"("y")", "7", "null", "[1,2,-3]"}) {
    const std::string holds = start + R"("holds":[[0,4095,7],)" + row + "]}";
    EXPECT_FALSE(protocol.readReport(report("/instances/i-7/heartbeat", holds))) << row;
  }
  for (const char* rest :
       {R"("holds":7})", R"("holds":[],"released":"x"})", R"("released":[]})", R"("holds":[],"released":[[1,2,3]]})"}) {
    EXPECT_FALSE(protocol.readReport(report("/instances/i-7/heartbeat", start + rest))) << rest;
  }
}

TEST(ReportProtocolTest, HeartbeatWithMissingOrInvalidFieldIsRejected) {
  const ReportProtocolImpl protocol;
  const json valid = {{"service", "s"}, {"address", "10.0.0.1:80"}, {"slots", 18}, {"state", "ready"}, {"callSeq", 4},
                      {"born", 5}};
  const auto reads = [&protocol](const json& body) {
    return protocol.readReport(report("/instances/i-7/heartbeat", body.dump())).has_value();
  };
  ASSERT_TRUE(reads(valid));
  for (const char* field : {"service", "address", "slots", "state"}) {
    json incomplete = valid;
    incomplete.erase(field);
    EXPECT_FALSE(reads(incomplete)) << field;
  }
  const json wrong[] = {nullptr, -1, 0.5, 1e18, true, "x", json::array(), json::object(), 1'000'000'000'000};
  for (const char* field : {"service", "address", "slots", "state"}) {
    for (const json& value : wrong) {
      json other = valid;
      other[field] = value;
      EXPECT_TRUE(!reads(other) || (std::string(field) == "service" && value == "x")) << other;
    }
  }
  json invalid_sequence = valid;
  invalid_sequence["callSeq"] = "4";
  EXPECT_FALSE(reads(invalid_sequence));
  const std::string deep = std::string(10'000, '[') + std::string(10'000, ']');
  EXPECT_FALSE(protocol.readReport(report("/instances/i-7/heartbeat", deep)));
  EXPECT_FALSE(protocol.readReport(report("/instances/i-7/heartbeat", R"({"service":)" + deep + "}")));
  EXPECT_FALSE(protocol.readReport(report("/instances/i-7/heartbeat", "{\"service\":\"\xff\xfe\"}")));
}

TEST(ReportProtocolTest, AcknowledgementContainsAssignedKeys) {
  const ReportProtocolImpl protocol;
  EXPECT_EQ(protocol.acknowledgement(nullptr).body, "{}");
  KeyAssignment keys;
  keys.hold_duration = std::chrono::seconds(4);
  keys.ranges = {{0, 4095, 7, ""}, {9000, 9999, 12, "7a21"}};
  EXPECT_EQ(protocol.acknowledgement(&keys).body,
            R"({"hold_time":"4000ms","holds":[[0,4095,7,""],[9000,9999,12,"7a21"]]})");
  // The maximum number of ranges in one response, each with its longest encoding.
  keys.ranges.assign(94, {65535, 65535, 9'999'999, "0123456789abcdef"});
  EXPECT_LE(protocol.acknowledgement(&keys).body.size(), 4096U);
}

const char* const kConfig = R"({"version":"0000000c","routes":[
  {"name":"r1","host":"a.example","pathPrefix":"/x/","kind":"non_idempotent","timeout":"1200ms","targetLatency":"400ms",
   "priority":1,"service":"s1","maxAttempts":2},
  {"name":"r2","host":"a.example","pathPrefix":"/y/","kind":"download","priority":2,
   "trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":1}],
  "services":[{"name":"s1","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"sharded":true},
              {"name":"s2","healthPath":"/h2","maxConnections":5}],
  "limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeout":"3000ms","idleTimeout":"15s"},"baseVersion":"05"})";

ObjectsByName partsOf(const std::string& text) { return {{kConfigObjectName, {kConfigObjectName, 1, text}}}; }

RouterConfig decodedOrEmpty(const std::string& text) {
  const ConfigProtocolImpl protocol;
  return leaf::try_handle_all([&] { return protocol.decode(partsOf(text)); }, [] { return RouterConfig(); });
}

TEST(ConfigProtocolTest, DecodesConfiguration) {
  const RouterConfig config = decodedOrEmpty(kConfig);
  EXPECT_EQ(config.version, 12U);
  ASSERT_EQ(config.routes.size(), 2U);
  EXPECT_EQ(config.routes[0].kind, RouteKind::AtMostOnce);
  EXPECT_EQ(config.routes[0].timeout, milliseconds(1200));
  EXPECT_EQ(config.routes[0].shares.size(), 1U);
  EXPECT_EQ(config.routes[1].kind, RouteKind::Download);
  EXPECT_EQ(config.routes[1].timeout, kDefaultRouteTimeout);
  EXPECT_EQ(config.routes[1].shares[1].weight, 10U);
  EXPECT_TRUE(config.services.at(ServiceName("s1")).divided_by_key);
  EXPECT_FALSE(config.services.at(ServiceName("s2")).divided_by_key);
  EXPECT_EQ(config.limits.idle_timeout, std::chrono::seconds(15));
}

std::vector<std::string> locationsOf(const Findings& findings) {
  std::vector<std::string> locations;
  for (const Finding& finding : findings.list) {
    locations.push_back(finding.location);
  }
  return locations;
}

TEST(ConfigProtocolTest, RefusesTheDocumentWithAllFindingsIfItsStructureIsInvalid) {
  json document = json::parse(kConfig);
  document["version"] = "zz";
  document["routes"] = "none";
  document["services"] = 7;
  const std::string text = document.dump();
  const ConfigProtocolImpl protocol;
  const std::vector<std::string> places = leaf::try_handle_all(
      [&]() -> leaf::result<std::vector<std::string>> {
        BOOST_LEAF_CHECK(protocol.decode(partsOf(text)));
        return std::vector<std::string>();
      },
      [](const Findings& findings) { return locationsOf(findings); }, [] { return std::vector<std::string>(); });
  EXPECT_EQ(places, (std::vector<std::string>{"version", "routes", "services"}));
}

TEST(ConfigProtocolTest, ReportsAllIgnoredValuesWithLocation) {
  json document = json::parse(kConfig);
  document["routes"][0]["kind"] = "sometimes";
  document["routes"][0]["timeout"] = "soon";
  document["routes"][1].erase("host");
  document["limits"]["idleTimeout"] = 7;
  const RouterConfig config = decodedOrEmpty(document.dump());
  EXPECT_EQ(locationsOf(config.ignored),
            (std::vector<std::string>{"routes/0/kind", "routes/0/timeout", "routes/1/host", "limits/idleTimeout"}));
}

/// Each call receives the next of the prepared responses.
class PlatformStoreTest : public ::testing::Test {
 protected:
  PlatformStoreTest()
      : store_(
            [this](const StoreCall& call, const std::function<void(std::optional<HttpResponse>)>& done) {
              requests_.push_back(call.request);
              connections_.push_back(call.connection);
              done(answers_.at(requests_.size() - 1));
            },
            [this](const std::string& kind) { unreadable_.push_back(kind); }) {}

  StoreStatus replaceStatus(std::optional<HttpResponse> answer) {
    requests_.clear();
    answers_ = {std::move(answer)};
    StoreStatus status = StoreStatus::Done;
    store_.replace("k", {"n", 4, "{}"}, [&](const StoreAnswer& received) { status = received.status; });
    return status;
  }

  std::vector<HttpRequest> requests_;
  std::vector<StoreConnection> connections_;
  std::vector<std::optional<HttpResponse>> answers_;
  std::vector<std::string> unreadable_;
  PlatformStore store_;
};

const char* const kObject = R"({"metadata":{"name":"n","revision":5},"spec":{"a":1},"status":null})";

TEST_F(PlatformStoreTest, ReportsStatusOfWrite) {
  EXPECT_EQ(replaceStatus(HttpResponse{200, {}, kObject}), StoreStatus::Done);
  EXPECT_EQ(requests_.back().method + " " + requests_.back().target, "PUT /objects/k/n");
  EXPECT_EQ(json::parse(requests_.back().body)["metadata"]["revision"], 4);
  EXPECT_EQ(replaceStatus(HttpResponse{409, {}, kObject}), StoreStatus::Conflict);
  EXPECT_EQ(replaceStatus(HttpResponse{404, {}, {}}), StoreStatus::Absent);
  EXPECT_EQ(replaceStatus(HttpResponse{429, {}, {}}), StoreStatus::Refused);
  EXPECT_EQ(replaceStatus(HttpResponse{503, {}, {}}), StoreStatus::Refused);
  EXPECT_EQ(replaceStatus(HttpResponse{500, {}, {}}), StoreStatus::Unknown);
  EXPECT_EQ(replaceStatus(HttpResponse{200, {}, "{"}), StoreStatus::Unknown);
  EXPECT_EQ(replaceStatus(std::nullopt), StoreStatus::Unknown);
}

TEST_F(PlatformStoreTest, ListsAllPagesWithRevisionOfFirstPage) {
  answers_ = {HttpResponse{200, {}, std::string(R"({"items":[)") + kObject + R"(],"more":true,"at":7})"},
              HttpResponse{200, {}, R"({"items":[],"more":false,"at":9})"}};
  StoreListing listing;
  store_.list("k", ListFreshness::Latest, [&](const StoreListing& received) { listing = received; });
  EXPECT_TRUE(listing.available);
  EXPECT_EQ(listing.revision, 7U);
  ASSERT_EQ(listing.objects.size(), 1U);
  EXPECT_EQ(listing.objects[0].value, R"({"a":1})");
  EXPECT_EQ(requests_[1].target, "/objects/k?after=n");
}

const char* const kUnreadable =
    R"(7,null,"x",[],{},{"metadata":3},{"metadata":{"name":4,"revision":5}},{"metadata":{"name":"m","revision":-1}})";

TEST_F(PlatformStoreTest, ListSkipsAndReportsUnreadableObjects) {
  answers_ = {
      HttpResponse{200, {}, std::string(R"({"items":[)") + kUnreadable + "," + kObject + R"(],"more":false,"at":7})"}};
  StoreListing listing;
  store_.list("k", ListFreshness::Latest, [&](const StoreListing& received) { listing = received; });
  EXPECT_TRUE(listing.available);
  EXPECT_EQ(listing.objects.size(), 1U);
  EXPECT_EQ(unreadable_, std::vector<std::string>(8, "k"));
}

TEST_F(PlatformStoreTest, ListContinuesAfterPageWithoutReadableObjects) {
  answers_ = {HttpResponse{200, {}, R"({"items":[{"metadata":{"name":"m"}}],"more":true,"at":7})"},
              HttpResponse{200, {}, std::string(R"({"items":[)") + kObject + R"(],"more":false,"at":7})"}};
  StoreListing listing;
  store_.list("k", ListFreshness::Latest, [&](const StoreListing& received) { listing = received; });
  EXPECT_EQ(requests_[1].target, "/objects/k?after=m");
  EXPECT_EQ(listing.objects.size(), 1U);
}

// Without skipping the event, each further watch would return it again and never reach later events.
TEST_F(PlatformStoreTest, WatchSkipsAndReportsUnreadableEvents) {
  answers_ = {HttpResponse{
      200,
      {},
      std::string(R"({"events":[)") + kUnreadable + R"(,{"object":)" + kObject + R"(},{"object":[]}],"at":8})"}};
  WatchResult result;
  store_.watch("k", 6, std::chrono::seconds(20), [&](const WatchResult& received) { result = received; });
  EXPECT_EQ(result.status, WatchStatus::Events);
  EXPECT_EQ(result.revision, 8U);
  EXPECT_EQ(result.events.size(), 1U);
  EXPECT_EQ(unreadable_.size(), 9U);
}

TEST_F(PlatformStoreTest, CheckUsesShortestWaitAndFreshConnection) {
  answers_ = {HttpResponse{200, {}, std::string(R"({"events":[{"object":)") + kObject + R"(}],"at":8})"}};
  WatchResult result;
  store_.check("k", 6, [&](const WatchResult& received) { result = received; });
  EXPECT_EQ(requests_[0].target, "/objects/k?watch=6&waitMs=1");
  EXPECT_EQ(connections_[0], StoreConnection::New);
  EXPECT_EQ(result.status, WatchStatus::Events);
  ASSERT_EQ(result.events.size(), 1U);
}

TEST_F(PlatformStoreTest, WatchReturnsEventsOrMissingHistory) {
  answers_ = {HttpResponse{200, {}, std::string(R"({"events":[{"gone":true,"object":)") + kObject + R"(}],"at":8})"}};
  WatchResult result;
  store_.watch("k", 6, std::chrono::seconds(20), [&](const WatchResult& received) { result = received; });
  EXPECT_EQ(requests_[0].target, "/objects/k?watch=6&waitMs=20000");
  EXPECT_EQ(result.status, WatchStatus::Events);
  EXPECT_EQ(result.revision, 8U);
  ASSERT_EQ(result.events.size(), 1U);
  EXPECT_TRUE(result.events[0].deleted);
  requests_.clear();
  answers_ = {HttpResponse{410, {}, {}}};
  store_.watch("k", 6, std::chrono::seconds(20), [&](const WatchResult& received) { result = received; });
  EXPECT_EQ(result.status, WatchStatus::HistoryGone);
}

TEST_F(PlatformStoreTest, ReturnsStoreEpochOfEachResponse) {
  const std::vector<HttpHeader> epoch_header = {{"store-era", "3"}};
  answers_ = {HttpResponse{200, epoch_header, kObject}};
  StoreAnswer answer;
  const auto keep = [&](const StoreAnswer& received) { answer = received; };
  store_.get("k", "n", keep);
  EXPECT_EQ(answer.epoch, 3U);
  EXPECT_EQ(answer.object.revision, StoreRevision(3, 5));
  requests_.clear();
  answers_ = {HttpResponse{410, epoch_header, {}}};
  WatchResult result;
  store_.watch("k", {3, 6}, std::chrono::seconds(20), [&](const WatchResult& received) { result = received; });
  EXPECT_EQ(result.epoch, 3U);
  EXPECT_EQ(requests_[0].target, "/objects/k?watch=6&waitMs=20000");
}

TEST_F(PlatformStoreTest, StoreEpochIsZeroIfHeaderIsNotANumber) {
  for (const char* received : {"", "x", "3x", "-1", "99999999999999999999999"}) {
    requests_.clear();
    answers_ = {HttpResponse{200, {{"Store-Era", received}}, kObject}};
    StoreAnswer answer;
    store_.get("k", "n", [&](const StoreAnswer& given) { answer = given; });
    EXPECT_EQ(answer.status, StoreStatus::Done);
    EXPECT_EQ(answer.epoch, 0U) << received;
  }
}

TEST_F(PlatformStoreTest, ListWithPagesOfTwoStoreEpochsFails) {
  answers_ = {
      HttpResponse{200, {{"Store-Era", "3"}}, std::string(R"({"items":[)") + kObject + R"(],"more":true,"at":7})"},
      HttpResponse{200, {{"Store-Era", "4"}}, R"({"items":[],"more":false,"at":6})"}};
  bool available = true;
  store_.list("k", ListFreshness::Latest, [&](const StoreListing& received) { available = received.available; });
  EXPECT_FALSE(available);
}

}  // namespace
}  // namespace shedlever::platform::test
