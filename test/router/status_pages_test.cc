/// @file
/// Status endpoints of a router with the product's own interface and with the platform's.

#include "source/router/status_pages.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;

class ReadinessProtocol : public ReportProtocol {
 public:
  std::optional<ServerReport> readReport(const HttpRequest&) const override { return std::nullopt; }
  HttpResponse acknowledgement(const KeyAssignment*) const override { return {}; }
  bool isReadinessRequest(const HttpRequest& request) const override { return request.target == "/ready"; }
};

class StatusPagesTest : public ::testing::Test {
 protected:
  HttpResponse ask(InterfaceKind kind, const std::string& method, const std::string& target) {
    StatusPages::Ports ports;
    ports.reports = &reports_;
    ports.ready = [this] { return ready_; };
    ports.metrics = [] { return std::string("metric 1\n"); };
    ports.status = [this] { return status_; };
    ports.drain = [this] { status_.draining = true; };
    HttpRequest request;
    request.method = method;
    request.target = target;
    return StatusPages(kind, std::move(ports)).answer(request);
  }

  ReadinessProtocol reports_;
  NodeStatus status_;
  bool ready_ = false;
};

TEST_F(StatusPagesTest, ReadinessReflectsTheRouterState) {
  EXPECT_EQ(ask(InterfaceKind::Platform, "GET", "/ready").status, kServiceUnavailable);
  ready_ = true;
  EXPECT_EQ(ask(InterfaceKind::Platform, "GET", "/ready").status, kOk);
}

TEST_F(StatusPagesTest, MetricsAreServedOnBothInterfaces) {
  EXPECT_EQ(ask(InterfaceKind::Platform, "GET", "/metrics").body, "metric 1\n");
  EXPECT_EQ(ask(InterfaceKind::Shedlever, "GET", "/metrics").body, "metric 1\n");
}

TEST_F(StatusPagesTest, OperatorEndpointsExistOnlyOnTheProductsOwnInterface) {
  EXPECT_EQ(ask(InterfaceKind::Platform, "GET", "/status").status, kNotFound);
  EXPECT_EQ(ask(InterfaceKind::Platform, "POST", "/drain").status, kNotFound);
  EXPECT_FALSE(status_.draining);
  EXPECT_EQ(ask(InterfaceKind::Shedlever, "GET", "/status").status, kOk);
}

TEST_F(StatusPagesTest, DrainRespondsWithTheDrainingStatus) {
  const HttpResponse answer = ask(InterfaceKind::Shedlever, "POST", "/drain");
  const auto status = decodeNodeStatus(answer.body);
  ASSERT_TRUE(status);
  EXPECT_TRUE(status->draining);
}

TEST_F(StatusPagesTest, UnknownEndpointsAreNotFound) {
  EXPECT_EQ(ask(InterfaceKind::Shedlever, "GET", "/drain").status, kNotFound);
  EXPECT_EQ(ask(InterfaceKind::Shedlever, "POST", "/status").status, kNotFound);
  EXPECT_EQ(ask(InterfaceKind::Shedlever, "GET", "/other").status, kNotFound);
}

}  // namespace
}  // namespace shedlever::test
