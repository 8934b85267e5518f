/// @file
/// Route lookup, traffic splits, the retry budget and retry decisions.

#include <gtest/gtest.h>

#include "source/core/router/routes/retry_policy.h"
#include "source/core/router/routes/route_table.h"
#include "source/core/router/routes/traffic_splitter.h"

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

Route route(const std::string& name, const std::string& host, const std::string& prefix) {
  Route made;
  made.name = name;
  made.host = host;
  made.path_prefix = prefix;
  made.kind = RouteKind::Idempotent;
  made.max_attempts = 2;
  made.target_latency = milliseconds(300);
  made.shares = {{ServiceName("s"), 1}};
  return made;
}

RouteTable table() {
  RouterConfig config;
  config.routes = {route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
                   route("root", "b.example", "/")};
  return RouteTable(config);
}

struct RouteRow {
  const char* host;
  const char* target;
  /// Expected route; empty if none matches.
  const char* name;
};

TEST(RouteTableTest, FindsTheLongestPrefixOfTheHost) {
  const std::vector<RouteRow> rows = {{"a.example", "/x/", "short"},
                                      {"a.example", "/x/1", "short"},
                                      {"a.example", "/x/y/", "long"},
                                      {"a.example", "/x/y/z/1?q=/", "long"},
                                      {"a.example", "/x/yy/1", "short"},
                                      {"a.example", "/x", ""},
                                      {"a.example", "/", ""},
                                      {"a.example", "/z/", ""},
                                      {"A.Example:80", "/x/1", "short"},
                                      {"b.example", "/anything", "root"},
                                      {"c.example", "/x/", ""},
                                      {"a.example", "/?/x/y/", ""}};
  const RouteTable routes = table();
  for (const RouteRow& row : rows) {
    const Route* found = routes.find(row.host, row.target);
    EXPECT_EQ(found == nullptr ? "" : found->name, row.name) << row.host << row.target;
  }
}

TEST(TrafficSplitterTest, MatchesWeightsInShortSamples) {
  Route split = route("r", "h", "/");
  split.shares = {{ServiceName("big"), 90}, {ServiceName("small"), 10}};
  for (std::size_t offset = 0; offset < 20; ++offset) {
    TrafficSplitter picker(offset);
    int small = 0;
    constexpr int kRequests = 50;
    for (int i = 0; i < kRequests; ++i) {
      small += picker.pick(split).value == "small" ? 1 : 0;
    }
    EXPECT_EQ(small, 5) << "offset " << offset;
  }
}

TEST(TrafficSplitterTest, ChangedWeightsStartANewRound) {
  Route split = route("r", "h", "/");
  split.shares = {{ServiceName("a"), 1}, {ServiceName("b"), 1}};
  TrafficSplitter picker(0);
  picker.pick(split);
  split.shares = {{ServiceName("a"), 0}, {ServiceName("b"), 1}};
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(picker.pick(split).value, "b");
  }
}

TEST(SharedRetryBudgetTest, SpendsAtMostItsPartOfTheSlackAndTheRatio) {
  const ServiceName service("s");
  SharedRetryBudget budget({0.1, 32.0});
  budget.setProcessCount(16);
  int spent = 0;
  while (budget.trySpend(service)) {
    ++spent;
  }
  EXPECT_EQ(spent, 2);
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    budget.onRequest(service);
    spent += budget.trySpend(service) ? 1 : 0;
  }
  EXPECT_LE(spent, 2 + kRequests / 10);
  EXPECT_GE(spent, kRequests / 10 - 1);
}

TEST(SharedRetryBudgetTest, EachServiceHasItsOwnBudget) {
  SharedRetryBudget budget({0.0, 1.0});
  EXPECT_TRUE(budget.trySpend(ServiceName("a")));
  EXPECT_FALSE(budget.trySpend(ServiceName("a")));
  EXPECT_TRUE(budget.trySpend(ServiceName("b")));
}

struct PolicyRow {
  const char* name;
  RouteKind kind;
  bool keyed;
  std::uint32_t reached;
  Duration remaining;
  ForwardOutcome outcome;
  ForwardReason reason;
  bool reached_server;
  int status;
  RetryDecision step;
};

TEST(RetryPolicyTest, DecidesByOutcomeRouteKindAndRemainingTime) {
  using enum RouteKind;
  using enum ForwardReason;
  using Out = ForwardOutcome;
  using Step = RetryDecision;
  const Duration enough_time = milliseconds(900);
  const Duration too_little_time = milliseconds(10);
  const std::vector<PolicyRow> rows = {
      {"success", Idempotent, false, 1, enough_time, Out::Answered, None, true, 200, Step::Answer},
      {"once-only failure", AtMostOnce, false, 1, enough_time, Out::Answered, None, true, 500, Step::Answer},
      {"idempotent failure", Idempotent, false, 1, enough_time, Out::Answered, None, true, 500, Step::TryAnother},
      {"failure, servers used up", Idempotent, false, 2, enough_time, Out::Answered, None, true, 500, Step::Answer},
      {"failure, too late", Idempotent, false, 1, too_little_time, Out::Answered, None, true, 500, Step::Answer},
      {"full", AtMostOnce, false, 0, enough_time, Out::NotRun, Overloaded, false, 0, Step::TryAnother},
      {"owner full", Idempotent, true, 0, enough_time, Out::NotRun, Overloaded, false, 0, Step::Refuse},
      {"owner moved", AtMostOnce, true, 0, enough_time, Out::NotRun, NotOwner, false, 0, Step::AwaitOwner},
      {"owner down", AtMostOnce, true, 0, enough_time, Out::NotRun, ServerDown, false, 0, Step::AwaitOwner},
      {"refused by the server", AtMostOnce, false, 1, enough_time, Out::NotRun, ServerRefused, true, 0,
       Step::TryAnother},
      {"refused, servers used up", AtMostOnce, false, 2, enough_time, Out::NotRun, ServerRefused, true, 0,
       Step::Refuse},
      {"unknown, once-only", AtMostOnce, false, 1, enough_time, Out::Unknown, ConnectionLost, true, 0, Step::Fail},
      {"unknown, idempotent", Idempotent, false, 1, enough_time, Out::Unknown, ConnectionLost, true, 0,
       Step::TryAnother},
      {"unknown, download", Download, false, 1, enough_time, Out::Unknown, BrokenAnswer, true, 0, Step::TryAnother},
      {"unknown, too late", Idempotent, false, 1, too_little_time, Out::Unknown, TimedOut, true, 0, Step::Fail}};
  for (const PolicyRow& row : rows) {
    SharedRetryBudget budget({0.1, 10.0});
    RetryPolicy policy(budget);
    Route on = route("r", "h", "/");
    on.kind = row.kind;
    ForwardReplyFrame reply;
    reply.outcome = row.outcome;
    reply.reason = row.reason;
    reply.reached_server = row.reached_server;
    reply.http.status = row.status;
    EXPECT_EQ(policy.decide({&on, ServiceName("s"), row.keyed, row.reached, row.remaining}, reply), row.step)
        << row.name;
  }
}

// The gate holds a request for a key in transfer as long as it can be served in time; a returned request cannot.
TEST(RetryPolicyTest, RequestReturnedByTheGateIsRefusedUnlessAnotherOwnerIsKnown) {
  SharedRetryBudget budget({0.1, 100});
  RetryPolicy policy(budget);
  Route route;
  const AttemptState attempt{&route, ServiceName("s"), true, 0, std::chrono::seconds(1)};
  ForwardReplyFrame reply;
  reply.outcome = ForwardOutcome::NotRun;
  reply.reason = ForwardReason::NotYetOwner;
  EXPECT_EQ(policy.decide(attempt, reply), RetryDecision::Refuse);
  reply.hint = {7, 0, 99, InstanceId("i-2"), NodeName("n-2")};
  EXPECT_EQ(policy.decide(attempt, reply), RetryDecision::AwaitOwner);
}

// Two servers may run the request at the same time, so it must be repeatable, and only a key's owner can run its
// requests.
TEST(RetryPolicyTest, OnlyRepeatableRequestsWithoutAKeyGetASecondAttemptBesideAnOpenOne) {
  SharedRetryBudget budget({0.1, 100});
  RetryPolicy policy(budget);
  Route on = route("r", "h", "/");
  const auto may_add = [&](RouteKind kind, bool has_key, std::uint32_t reached, Duration remaining) {
    on.kind = kind;
    return policy.mayAddAttempt({&on, ServiceName("s"), has_key, reached, remaining});
  };
  EXPECT_TRUE(may_add(RouteKind::Idempotent, false, 1, milliseconds(900)));
  EXPECT_TRUE(may_add(RouteKind::Download, false, 1, milliseconds(900)));
  EXPECT_FALSE(may_add(RouteKind::AtMostOnce, false, 1, milliseconds(900)));
  EXPECT_FALSE(may_add(RouteKind::Idempotent, true, 1, milliseconds(900)));
  EXPECT_FALSE(may_add(RouteKind::Idempotent, false, on.max_attempts, milliseconds(900)));
  EXPECT_FALSE(may_add(RouteKind::Idempotent, false, 1, milliseconds(10)));
}

TEST(RetryPolicyTest, WithoutBudgetNoRequestThatReachedAServerIsRetried) {
  SharedRetryBudget budget({0.0, 1.0});
  while (budget.trySpend(ServiceName("s"))) {
  }
  RetryPolicy policy(budget);
  const Route on = route("r", "h", "/");
  ForwardReplyFrame reply;
  reply.outcome = ForwardOutcome::Unknown;
  reply.reached_server = true;
  const AttemptState attempt{&on, ServiceName("s"), false, 1, milliseconds(900)};
  EXPECT_EQ(policy.decide(attempt, reply), RetryDecision::Fail);
  reply.outcome = ForwardOutcome::NotRun;
  reply.reason = ForwardReason::ServerRefused;
  EXPECT_EQ(policy.decide(attempt, reply), RetryDecision::Refuse);
  reply.reached_server = false;
  reply.reason = ForwardReason::Overloaded;
  EXPECT_EQ(policy.decide(attempt, reply), RetryDecision::TryAnother);
}

}  // namespace
}  // namespace shedlever::test
