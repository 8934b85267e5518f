#include "source/interface/client_response.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "source/interface/header_rules.h"

namespace shedlever {
namespace {

using std::chrono::milliseconds;

std::string headerOf(const HttpResponse& response, std::string_view name) {
  return std::string(lookUpHeader(response.headers, name).value);
}

TEST(CallerReply, RefusalHasStatusReasonAndRetryAfter) {
  struct Row {
    Outcome outcome;
    Reason reason;
    Duration retry_after;
    int status;
    const char* seconds;
    const char* milliseconds;
  };
  const Row rows[] = {
      {Outcome::NotRun, Reason::QueueFull, milliseconds(1), 429, "1", "1"},
      {Outcome::NotRun, Reason::QueueFull, Duration(2'000'001), 429, "3", "2001"},
      {Outcome::NotRun, Reason::NoOwner, Duration::zero(), 503, "1", "500"},
      {Outcome::NotRun, Reason::BadRequest, Duration::zero(), 400, "", ""},
      {Outcome::NotRun, Reason::DeadlineExceeded, Duration::zero(), 504, "", ""},
      {Outcome::Unknown, Reason::ConnectionLost, milliseconds(5), 502, "", ""},
  };
  for (const Row& row : rows) {
    const HttpResponse response = refusalResponse({RequestId("g-1-1"), row.outcome, row.reason, row.retry_after});
    SCOPED_TRACE(toString(row.reason));
    EXPECT_EQ(response.status, row.status);
    EXPECT_EQ(headerOf(response, "Retry-After"), row.seconds);
    EXPECT_EQ(headerOf(response, "Shedlever-Retry-After-Ms"), row.milliseconds);
    EXPECT_EQ(headerOf(response, "Shedlever-Outcome"), toString(row.outcome));
    EXPECT_EQ(headerOf(response, "Shedlever-Reason"), toString(row.reason));
    EXPECT_EQ(headerOf(response, "Shedlever-Request-Id"), "g-1-1");
    const nlohmann::json body = nlohmann::json::parse(response.body);
    EXPECT_EQ(body["outcome"], toString(row.outcome));
    EXPECT_EQ(body["reason"], toString(row.reason));
    EXPECT_EQ(body["request_id"], "g-1-1");
    EXPECT_FALSE(body["message"].get<std::string>().empty());
  }
  EXPECT_EQ(
      headerOf(refusalResponse({RequestId("x"), Outcome::NotRun, Reason::Unauthenticated, {}}), "WWW-Authenticate"),
      "Bearer");
}

TEST(CallerReply, ServerResponsePassesWithoutForgedHeaders) {
  HttpResponse response;
  response.status = 418;
  response.headers = {{"Content-Type", "x"}, {"Shedlever-Outcome", "not-run"}, {"Connection", "close"}};
  response.body = "body";
  completeResponse(response, RequestId("g-1-1"));
  EXPECT_EQ(response.status, 418);
  EXPECT_EQ(response.body, "body");
  EXPECT_EQ(lookUpHeader(response.headers, "Shedlever-Outcome").count, 1U);
  EXPECT_EQ(headerOf(response, "Shedlever-Outcome"), "answered");
  EXPECT_EQ(headerOf(response, "Shedlever-Request-Id"), "g-1-1");
  EXPECT_EQ(headerOf(response, "Content-Type"), "x");
  EXPECT_EQ(lookUpHeader(response.headers, "Connection").count, 0U);
  EXPECT_EQ(lookUpHeader(response.headers, "Shedlever-Reason").count, 0U);
}

}  // namespace
}  // namespace shedlever
