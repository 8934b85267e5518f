/// @file
/// Tests how the stand-in server leaves and what it logs of its keys.

#include "standins/router/key_server.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

#include "source/net/event_loop.h"

namespace shedlever::standins::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class KeyServerTest : public ::testing::Test {
 protected:
  KeyServerTest() : log_(std::filesystem::temp_directory_path() / ("key-server-" + std::to_string(getpid()))) {
    std::filesystem::remove(log_);
    config_.listen = {"127.0.0.1", 0};
    config_.service = "search";
    config_.divided_by_key = true;
    config_.log_file = log_.string();
    config_.id = "i-1";
    config_.on_left = [this] { has_left_ = true; };
    server_ = startServer();
    HttpClientConfig client;
    client.server = server_->endpoint();
    client_ = std::make_unique<HttpClient>(loop_, client);
  }
  ~KeyServerTest() override { std::filesystem::remove(log_); }

  std::unique_ptr<KeyServer> startServer() {
    auto started = KeyServer::start(loop_, config_);
    return started ? std::move(started.value()) : nullptr;
  }

  /// @return where the result will be, once there is one.
  std::shared_ptr<std::optional<HttpExchangeResult>> send(HttpRequest request) {
    auto result = std::make_shared<std::optional<HttpExchangeResult>>();
    client_->send(std::move(request), seconds(10),
                  [result](const HttpExchangeResult& exchange) { *result = exchange; });
    return result;
  }

  int statusOf(HttpRequest request) {
    const auto result = send(std::move(request));
    loop_.runUntil([&result] { return result->has_value(); }, seconds(10));
    const bool complete = *result && (*result)->status == HttpExchangeStatus::Complete;
    return complete ? (*result)->response.status : 0;
  }

  static HttpRequest post(const std::string& path, const std::string& body) { return {"POST", path, {}, body}; }
  static HttpRequest requestForKey(const std::string& id, int key) {
    return {
        "GET", "/x", {{"X-Request-Id", id}, {"X-Expect-Instance", "i-1"}, {"X-Shard-Key", std::to_string(key)}}, ""};
  }

  /// @return the events of the log and their arguments, without times and instances.
  std::vector<std::string> loggedEvents() const {
    std::vector<std::string> events;
    std::ifstream file(log_);
    std::string line;
    while (std::getline(file, line)) {
      std::istringstream words(line);
      std::string at;
      std::string instance;
      words >> at >> instance;
      std::string event;
      std::getline(words >> std::ws, event);
      events.push_back(event);
    }
    return events;
  }

  bool hasLogged(const std::string& start) const {
    const std::vector<std::string> events = loggedEvents();
    return std::any_of(events.begin(), events.end(),
                       [&start](const std::string& event) { return event.starts_with(start); });
  }

  EventLoop loop_;
  std::filesystem::path log_;
  KeyServerConfig config_;
  bool has_left_ = false;
  std::unique_ptr<KeyServer> server_;
  std::unique_ptr<HttpClient> client_;
};

constexpr const char* kGrant = R"({"rangeStart":0,"targetVersion":99,"fence":5,"hold_time":"4000ms"})";

TEST_F(KeyServerTest, ServerThatStopsListeningRefusesConnectionsAndAnswersWhatItHasBegun) {
  ASSERT_EQ(statusOf(post("/grant", kGrant)), 200);
  const auto begun = send(requestForKey("r1", 7));
  loop_.runUntil([this] { return hasLogged("begin r1 7 5"); }, seconds(10));
  server_->stopListening();
  loop_.runUntil([&begun] { return begun->has_value(); }, seconds(10));
  ASSERT_EQ((*begun)->status, HttpExchangeStatus::Complete);
  EXPECT_EQ((*begun)->response.status, 200);
  EXPECT_EQ(statusOf(requestForKey("r2", 8)), 0);
  EXPECT_TRUE(hasLogged("end r1 7"));
  EXPECT_FALSE(hasLogged("begin r2"));
  EXPECT_FALSE(hasLogged("down"));
}

TEST_F(KeyServerTest, SuccessorListensAtTheAddressWhileTheOldInstanceStillRuns) {
  ASSERT_EQ(statusOf(post("/grant", kGrant)), 200);
  config_.listen = server_->endpoint();
  server_->stopListening();
  const std::unique_ptr<KeyServer> successor = startServer();
  ASSERT_NE(successor, nullptr);
  EXPECT_EQ(statusOf(requestForKey("r1", 7)), 421);
}

TEST_F(KeyServerTest, GrantIsLoggedWithTheEndOfTheHoldAndReleaseWithTheEndOfTheWork) {
  ASSERT_EQ(statusOf(post("/grant", kGrant)), 200);
  const auto begun = send(requestForKey("r1", 7));
  loop_.runUntil([this] { return hasLogged("begin r1 7 5"); }, seconds(10));
  EXPECT_EQ(statusOf(post("/release", R"({"rangeStart":0,"targetVersion":49,"fence":5})")), 200);
  server_.reset();
  const std::vector<std::string> events = loggedEvents();
  ASSERT_EQ(events.size(), 7U);
  EXPECT_EQ(events[0], "up i-1 " + std::to_string(getpid()));
  EXPECT_TRUE(events[1].starts_with("take 0 99 5 ")) << events[1];
  // The request may end before the release arrives, but the release isn't over before the request is.
  EXPECT_EQ(events[2], "begin r1 7 5");
  const std::set<std::string> end_and_release(events.begin() + 3, events.begin() + 5);
  EXPECT_EQ(end_and_release, (std::set<std::string>{"end r1 7", "release 0 49 5"}));
  EXPECT_EQ(events[5], "released 0 49 5");
  EXPECT_EQ(events[6], "down");
}

TEST_F(KeyServerTest, ServerThatIsToEndLeavesOnceItsWorkHasEnded) {
  ASSERT_EQ(statusOf(post("/grant", kGrant)), 200);
  const auto begun = send(requestForKey("r1", 7));
  loop_.runUntil([this] { return hasLogged("begin r1 7 5"); }, seconds(10));
  EXPECT_EQ(statusOf(post("/condition", R"({"drain":true,"stop_listening":0,"end_after_ms":0})")), 200);
  loop_.runUntil([this] { return has_left_; }, seconds(10));
  EXPECT_TRUE(has_left_);
  EXPECT_TRUE(hasLogged("drain"));
  EXPECT_TRUE(hasLogged("stop-listening"));
  EXPECT_TRUE(hasLogged("end r1 7"));
}

}  // namespace
}  // namespace shedlever::standins::test
