/// @file
/// Tests the store stand-in's restore from a backup, which behaves as the platform's store.

#include "standins/router/metadata_server.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "source/core/json_fields.h"
#include "source/net/http_client.h"
#include "test/support/scripted_server.h"

namespace shedlever::standins {
namespace {

using nlohmann::json;
using test::kAnyLoopbackPort;
using test::kTestTimeout;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kGone = 410;

class MetadataServerTest : public ::testing::Test {
 protected:
  MetadataServerTest() {
    auto server = MetadataServer::listen(loop_, kAnyLoopbackPort, 1);
    EXPECT_TRUE(static_cast<bool>(server));
    server_ = std::move(server.value());
    HttpClientConfig config;
    config.server = server_->endpoint();
    client_ = std::make_unique<HttpClient>(loop_, config);
  }

  HttpResponse call(const std::string& method, const std::string& target, const std::string& body = {}) {
    std::optional<HttpResponse> answer;
    client_->send({method, target, {}, body}, std::chrono::seconds(5),
                  [&](HttpExchangeResult exchange) { answer = std::move(exchange.response); });
    EXPECT_TRUE(loop_.runUntil([&] { return answer.has_value(); }, kTestTimeout));
    return answer.value_or(HttpResponse{});
  }

  HttpResponse write(const std::string& method, const std::string& path, int value, std::uint64_t revision = 0) {
    json metadata = {{"name", "n"}};
    if (revision != 0) {
      metadata["revision"] = revision;
    }
    return call(method, path, json{{"metadata", metadata}, {"spec", value}}.dump());
  }

  static std::string epochOf(const HttpResponse& answer) {
    for (const HttpHeader& header : answer.headers) {
      if (header.name == "Store-Era") {
        return header.value;
      }
    }
    return "none";
  }

  static json bodyOf(const HttpResponse& answer) { return json::parse(answer.body); }

  EventLoop loop_;
  std::unique_ptr<MetadataServer> server_;
  std::unique_ptr<HttpClient> client_;
};

TEST_F(MetadataServerTest, RestoreReturnsToBackupAndReusesRevisions) {
  write("POST", "/objects/k", 1);
  call("POST", "/faults", R"({"keep_copy":true})");
  write("PUT", "/objects/k/n", 2);
  const HttpResponse before = write("PUT", "/objects/k/n", 3);
  EXPECT_EQ(bodyOf(before)["metadata"]["revision"], 3);
  EXPECT_EQ(epochOf(before), "1");
  call("POST", "/faults", R"({"restore_copy":true})");
  const HttpResponse after = call("GET", "/objects/k/n");
  EXPECT_EQ(bodyOf(after)["spec"], 1);
  EXPECT_EQ(bodyOf(after)["metadata"]["revision"], 1);
  EXPECT_EQ(epochOf(after), "2");
  EXPECT_EQ(write("PUT", "/objects/k/n", 4, 3).status, kConflict);
  EXPECT_EQ(bodyOf(write("PUT", "/objects/k/n", 4, 1))["metadata"]["revision"], 2);
  // Revision 2 was assigned before the restore as well, to another state.
  EXPECT_EQ(write("PUT", "/objects/k/n", 5, 2).status, kOk);
}

TEST_F(MetadataServerTest, WatchFromRevisionAboveBackupIsGone) {
  write("POST", "/objects/k", 1);
  call("POST", "/faults", R"({"keep_copy":true})");
  write("PUT", "/objects/k/n", 2);
  call("POST", "/faults", R"({"restore_copy":true})");
  EXPECT_EQ(call("GET", "/objects/k?watch=2&waitMs=1").status, kGone);
  const HttpResponse known = call("GET", "/objects/k?watch=1&waitMs=1");
  EXPECT_EQ(known.status, kOk);
  EXPECT_EQ(epochOf(known), "2");
}

}  // namespace
}  // namespace shedlever::standins
