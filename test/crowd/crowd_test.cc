/// @file
/// Crowds of clients that the operators don't control, at real processes: large bodies that stop just short of their
/// end, in one piece, in pieces or in chunks, whole bodies, and bodies far over the limit; and a server whose responses
/// have no end. No process may end or hang, each stays within the memory of its machine, and an ordinary request is
/// still served.

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "soak/local_deployment.h"
#include "source/net/http_client.h"
#include "test/support/crowd_client.h"
#include "test/support/http_call.h"
#include "test/support/scripted_server.h"

namespace shedlever::test {
namespace {

using nlohmann::json;

/// Memory of the machine that each router process runs on, as its settings state it.
constexpr std::size_t kMachineMemoryMb = 96;
/// Descriptors of the machine. The crowd and the process's own connections stay well below.
constexpr std::size_t kMaxDescriptors = 512;
/// The configuration's limit for a body.
constexpr std::size_t kMaxBodyBytes = 4U << 20U;
/// Their bodies together are four times as large as the machine's memory.
constexpr std::size_t kCrowd = 96;
constexpr std::size_t kMissingBytes = 16;
constexpr std::size_t kPieceBytes = 64U << 10U;
constexpr int kOk = 200;
/// What a process may take where its settings do not state the machine's memory.
constexpr std::size_t kDefaultMemoryMb = 256;

/// @return pieces that hold `head`, and then `size` bytes of which each piece has `piece_bytes`.
CrowdClient::Pieces bodyInPieces(const std::string& head, std::size_t size, std::size_t piece_bytes) {
  return [next = head, left = size, piece_bytes]() mutable {
    std::string piece = std::exchange(next, std::string());
    if (piece.empty()) {
      piece = std::string(std::min(left, piece_bytes), 'b');
      left -= piece.size();
    }
    return piece;
  };
}

/// @return pieces that hold `head`, and then `size` bytes in chunks.
CrowdClient::Pieces bodyInChunks(const std::string& head, std::size_t size, std::size_t chunk_bytes) {
  return [next = head, left = size, chunk_bytes]() mutable {
    std::string piece = std::exchange(next, std::string());
    while (left > 0 && piece.size() < kPieceBytes) {
      const std::size_t chunk = std::min(left, chunk_bytes);
      char length[32];
      std::snprintf(length, sizeof(length), "%zx\r\n", chunk);
      piece += length + std::string(chunk, 'c') + "\r\n";
      left -= chunk;
    }
    return piece;
  };
}

std::string requestHead(const std::string& id, const std::string& framing) {
  return "POST /orders/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Request-Deadline: 20000\r\n" + framing +
         "\r\n\r\n";
}

class CrowdTest : public ::testing::Test {
 protected:
  void SetUp() override { start(kMaxBodyBytes, kMachineMemoryMb); }

  void start(std::size_t max_body_bytes, std::size_t memory_mb) {
    machine_memory_mb_ = memory_mb;
    folder_ = ::testing::TempDir() + "shedlever-crowd-" + std::to_string(getpid());
    std::filesystem::create_directories(folder_);
    soak::LocalDeploymentConfig config;
    config.binary_folder = SHEDLEVER_BINARY_FOLDER;
    config.run_folder = folder_;
    config.machine_memory_mb = memory_mb;
    deployment_ = std::make_unique<soak::LocalDeployment>(loop_, config);
    deployment_->startStore();
    writeConfig(max_body_bytes);
    front_ = &deployment_->addNode("search", false);
    owner_ = &deployment_->addNode("orders", false);
    ASSERT_TRUE(isServed(std::string(100, 'o')));
  }

  void TearDown() override {
    crowd_.clear();
    deployment_.reset();
    std::filesystem::remove_all(folder_);
  }

  void writeConfig(std::size_t max_body_bytes) {
    const auto route = [](const char* name, const char* prefix, const char* service) {
      return json{{"name", name},         {"host", "h"},
                  {"pathPrefix", prefix}, {"kind", "non_idempotent"},
                  {"timeout", "20000ms"}, {"targetLatency", "20000ms"},
                  {"priority", 1},        {"service", service},
                  {"maxAttempts", 2}};
    };
    const json spec = {{"version", "00000001"},
                       {"routes", {route("r-search", "/search/", "search"), route("r-orders", "/orders/", "orders")}},
                       {"services",
                        {{{"name", "search"}, {"healthPath", "/health"}, {"maxConnections", 100}},
                         {{"name", "orders"}, {"healthPath", "/health"}, {"maxConnections", 100}}}},
                       {"limits",
                        {{"maxHeaderBytes", 16384},
                         {"maxBodyBytes", max_body_bytes},
                         {"headerTimeout", "30000ms"},
                         {"idleTimeout", "60000ms"}}}};
    const json body = {{"metadata", {{"name", "main"}}}, {"spec", spec}};
    ASSERT_TRUE(httpCall(loop_, deployment_->store(), "POST", "/objects/config", body.dump(), kTestTimeout));
  }

  /// Sends an ordinary request until it is served, as clients repeat what was refused.
  bool isServed(const std::string& body) {
    constexpr int kTries = 200;
    for (int tries = 0; tries < kTries; ++tries) {
      const std::string id = "ordinary-" + std::to_string(++ordinary_requests_);
      const HttpRequest request{
          "POST", "/orders/x", {{"Host", "h"}, {"X-Request-Id", id}, {"X-Request-Deadline", "5000"}}, body};
      if (statusOf(request) == kOk) {
        return true;
      }
      deployment_->runFor(std::chrono::milliseconds(50));
    }
    return false;
  }

  /// @return the status of the response; 0 if there was none.
  int statusOf(const HttpRequest& request) {
    HttpClientConfig config;
    config.server = front_->clients;
    config.preserve_host = true;
    HttpClient client(loop_, config);
    std::optional<HttpExchangeResult> result;
    client.send(request, kTestTimeout, [&result](HttpExchangeResult ended) { result = std::move(ended); });
    loop_.runUntil([&result] { return result.has_value(); }, kTestTimeout);
    return result && result->status == HttpExchangeStatus::Complete ? result->response.status : 0;
  }

  void addClient(CrowdClient::Pieces pieces) {
    crowd_.push_back(std::make_unique<CrowdClient>(loop_, front_->clients, std::move(pieces)));
  }

  void expectCrowdFinishes() {
    EXPECT_TRUE(loop_.runUntil(
        [this] {
          return std::all_of(crowd_.begin(), crowd_.end(), [](const auto& client) { return client->finished(); });
        },
        2 * kTestTimeout));
  }

  static std::size_t peakMemoryMb(const ChildProcess& process) {
    std::ifstream status("/proc/" + std::to_string(process.pid()) + "/status");
    const std::string field = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with(field)) {
        return std::stoul(line.substr(field.size())) >> 10U;
      }
    }
    return 0;
  }

  static std::size_t openDescriptors(const ChildProcess& process) {
    const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(process.pid()) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
  }

  void expectProcessesHold() {
    for (const auto& node : deployment_->nodes()) {
      ASSERT_FALSE(node->router_process->poll().has_value()) << node->name << " has ended";
      EXPECT_LT(peakMemoryMb(*node->router_process), machine_memory_mb_) << node->name;
      RecordProperty("peak_mb_" + node->name, std::to_string(peakMemoryMb(*node->router_process)));
      EXPECT_LT(openDescriptors(*node->router_process), kMaxDescriptors) << node->name;
    }
  }

  /// What must hold while the crowd's connections are still open.
  void expectOrdinaryService() {
    expectCrowdFinishes();
    // The kernel may still hold bytes that the router has not read; it reads them beside these requests.
    constexpr int kOrdinaryRequests = 20;
    for (int i = 0; i < kOrdinaryRequests; ++i) {
      EXPECT_TRUE(isServed(std::string(100, 'o')));
    }
    expectProcessesHold();
  }

  std::set<int> statuses() const {
    std::set<int> seen;
    for (const auto& client : crowd_) {
      seen.insert(client->status());
    }
    return seen;
  }

  std::size_t machine_memory_mb_ = 0;
  std::string folder_;
  EventLoop loop_;
  std::unique_ptr<soak::LocalDeployment> deployment_;
  soak::LocalNode* front_ = nullptr;
  soak::LocalNode* owner_ = nullptr;
  std::vector<std::unique_ptr<CrowdClient>> crowd_;
  std::size_t ordinary_requests_ = 0;
};

const std::string kFullLength = "Content-Length: " + std::to_string(kMaxBodyBytes);
const std::string kChunked = "Transfer-Encoding: chunked";

TEST_F(CrowdTest, SingleLargestBodyIsServedInCalm) {
  EXPECT_TRUE(isServed(std::string(kMaxBodyBytes, 'b')));
  expectProcessesHold();
}

/// A machine of 260 MB and bodies of up to 64 MB.
class LargeBodyTest : public CrowdTest {
 protected:
  static constexpr std::size_t kLargeBodyBytes = 64U << 20U;
  static constexpr std::size_t kSmallMachineMemoryMb = 260;
  void SetUp() override { start(kLargeBodyBytes, kSmallMachineMemoryMb); }
};

// Guards against a process that is killed for its memory by one large request.
TEST_F(LargeBodyTest, SingleLargestBodyIsServedInCalm) {
  EXPECT_TRUE(isServed(std::string(kLargeBodyBytes, 'b')));
  expectProcessesHold();
}

TEST_F(CrowdTest, ProcessesBearBodiesSentAtOnceThatStopShortOfTheirEnd) {
  for (std::size_t i = 0; i < kCrowd; ++i) {
    addClient(
        bodyInPieces(requestHead("c-" + std::to_string(i), kFullLength), kMaxBodyBytes - kMissingBytes, kMaxBodyBytes));
  }
  expectOrdinaryService();
}

TEST_F(CrowdTest, ProcessesBearBodiesInPiecesThatStopShortOfTheirEnd) {
  for (std::size_t i = 0; i < kCrowd; ++i) {
    addClient(
        bodyInPieces(requestHead("c-" + std::to_string(i), kFullLength), kMaxBodyBytes - kMissingBytes, kPieceBytes));
  }
  expectOrdinaryService();
}

TEST_F(CrowdTest, ProcessesBearLargeChunksThatStopShortOfTheirEnd) {
  for (std::size_t i = 0; i < kCrowd; ++i) {
    addClient(bodyInChunks(requestHead("c-" + std::to_string(i), kChunked), kMaxBodyBytes - kMissingBytes,
                           kMaxBodyBytes / 4));
  }
  expectOrdinaryService();
}

TEST_F(CrowdTest, ProcessesBearSmallChunksThatStopShortOfTheirEnd) {
  constexpr std::size_t kSmallChunkBytes = 16;
  for (std::size_t i = 0; i < kCrowd; ++i) {
    addClient(
        bodyInChunks(requestHead("c-" + std::to_string(i), kChunked), kMaxBodyBytes - kMissingBytes, kSmallChunkBytes));
  }
  expectOrdinaryService();
}

TEST_F(CrowdTest, ProcessesBearWholeBodiesAtOnce) {
  for (std::size_t i = 0; i < kCrowd; ++i) {
    addClient(bodyInPieces(requestHead("c-" + std::to_string(i), kFullLength), kMaxBodyBytes, kPieceBytes));
  }
  expectOrdinaryService();
}

TEST_F(CrowdTest, ProcessesBearBodiesFarOverTheLimit) {
  constexpr std::size_t kFarOver = std::size_t{1} << 30U;
  for (std::size_t i = 0; i < kCrowd; ++i) {
    const std::string id = "c-" + std::to_string(i);
    if (i % 2 == 0) {
      addClient(bodyInPieces(requestHead(id, "Content-Length: " + std::to_string(kFarOver)), kFarOver, kPieceBytes));
    } else {
      addClient(bodyInChunks(requestHead(id, kChunked), kFarOver, kPieceBytes));
    }
  }
  expectOrdinaryService();
  EXPECT_EQ(statuses().count(kOk), 0U);
}

/// The node's server sends bytes without end in the place of responses, until the router closes the connection.
class EndlessResponseTest : public CrowdTest {
 protected:
  /// @param head what the response begins with; `filler` follows without end.
  void replaceServer(const std::string& head, const std::string& filler) {
    owner_->restart_server = false;
    deployment_->killServer(*owner_);
    owner_->server_process.reset();
    flood_ = std::make_unique<ScriptedServer>(
        loop_,
        [this, head](ScriptedConnection& connection) {
          if (!isCompleteRequest(connection.received)) {
            return;
          }
          const std::string request = std::exchange(connection.received, {});
          if (request.starts_with("GET /health")) {
            connection.write(httpResponseText(kOk, "X-Instance-Id: i-flood\r\n", ""));
          } else if (floods_) {
            connection.write(head);
            flooded_.push_back(&connection);
          } else {
            const std::string id = headerOf(request, "X-Request-Id");
            connection.write(httpResponseText(kOk, "X-Response-Seal: s\r\nX-Request-Id: " + id + "\r\n", "ok"));
          }
        },
        owner_->server);
    filler_ = filler;
    const std::string report = R"({"service":"orders","address":")" + toString(owner_->server) +
                               R"(","zone":"z","version":"v1","slots":64,"state":"ready","coldRemaining":"0ms",)" +
                               R"("callSeq":1})";
    ASSERT_TRUE(httpCall(loop_, owner_->reports, "POST", "/instances/i-flood/heartbeat", report, kTestTimeout));
  }

  /// Writes filler to all connections until none is open any more.
  void floodUntilClosed() {
    constexpr std::size_t kMaxRounds = 100'000;
    for (std::size_t round = 0; round < kMaxRounds && hasOpenConnection(); ++round) {
      for (ScriptedConnection* connection : flooded_) {
        if (connection->unsentBytes() < kPieceBytes) {
          connection->write(filler_);
        }
      }
      deployment_->runFor(std::chrono::milliseconds(1));
    }
    EXPECT_FALSE(hasOpenConnection());
  }

  bool hasOpenConnection() const {
    return std::any_of(flooded_.begin(), flooded_.end(), [](const auto* connection) { return connection->open(); });
  }

  void expectBounded(const std::string& head, const std::string& filler) {
    ASSERT_NO_FATAL_FAILURE(replaceServer(head, filler));
    constexpr std::size_t kResponses = 16;
    constexpr std::size_t kMaxRequests = 1000;
    // Requests are refused until the other router knows the new instance.
    for (std::size_t i = 0; i < kMaxRequests && flooded_.size() < kResponses; ++i) {
      addClient(bodyInPieces(requestHead("c-" + std::to_string(i), "Content-Length: 0"), 0, kPieceBytes));
      deployment_->runFor(std::chrono::milliseconds(20));
    }
    ASSERT_GE(flooded_.size(), kResponses);
    floodUntilClosed();
    const auto answer = httpCall(loop_, front_->readiness, "GET", "/readiness", {}, kTestTimeout);
    ASSERT_TRUE(answer.has_value());
    floods_ = false;
    EXPECT_TRUE(isServed(std::string(100, 'o')));
    expectProcessesHold();
  }

  /// Whether the server responds to requests with bytes without end; otherwise with ordinary responses.
  bool floods_ = true;
  std::unique_ptr<ScriptedServer> flood_;
  std::vector<ScriptedConnection*> flooded_;
  std::string filler_;
};

TEST_F(EndlessResponseTest, ProcessesBearHeadsWithoutEnd) {
  expectBounded("HTTP/1.1 200 OK\r\n", "X-Filler: " + std::string(kPieceBytes, 'f') + "\r\n");
}

TEST_F(EndlessResponseTest, ProcessesBearBodiesWithoutEnd) {
  expectBounded("HTTP/1.1 200 OK\r\n\r\n", std::string(kPieceBytes, 'f'));
}

TEST_F(EndlessResponseTest, ProcessesBearChunksWithoutEnd) {
  expectBounded("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                "10000\r\n" + std::string(kPieceBytes, 'f') + "\r\n");
}

TEST_F(EndlessResponseTest, ProcessesBearChunksOfOneByteWithoutEnd) {
  std::string chunks;
  while (chunks.size() < kPieceBytes) {
    chunks += "1\r\nf\r\n";
  }
  expectBounded("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunks);
}

TEST_F(EndlessResponseTest, ProcessesBearBytesThatAreNoResponseWithoutEnd) {
  expectBounded("\x01\x02", std::string(kPieceBytes, '\x03'));
}

TEST_F(EndlessResponseTest, ProcessesBearStatusLinesWithoutEnd) {
  expectBounded("HTTP/1.1 200 ", std::string(kPieceBytes, 'f'));
}

TEST_F(EndlessResponseTest, ProcessesBearHeaderLinesWithoutEnd) {
  expectBounded("HTTP/1.1 200 OK\r\nX-Filler: ", std::string(kPieceBytes, 'f'));
}

TEST_F(EndlessResponseTest, ProcessesBearInterimResponsesWithoutEnd) {
  std::string responses;
  while (responses.size() < kPieceBytes) {
    responses += "HTTP/1.1 103 Early Hints\r\n\r\n";
  }
  expectBounded("HTTP/1.1 103 Early Hints\r\n\r\n", responses);
}

TEST_F(EndlessResponseTest, ProcessesBearChunkExtensionsWithoutEnd) {
  expectBounded("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", std::string(kPieceBytes, 'f'));
}

TEST_F(EndlessResponseTest, ProcessesBearTrailersWithoutEnd) {
  expectBounded("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                "X-Filler: " + std::string(kPieceBytes, 'f') + "\r\n");
}

/// The settings do not state the memory of the machine.
class UnstatedMemoryTest : public EndlessResponseTest {
 protected:
  void SetUp() override {
    start(kMaxBodyBytes, 0);
    machine_memory_mb_ = kDefaultMemoryMb;
  }
};

TEST_F(UnstatedMemoryTest, ProcessesBearBodiesWithoutEnd) {
  expectBounded("HTTP/1.1 200 OK\r\n\r\n", std::string(kPieceBytes, 'f'));
}

TEST_F(UnstatedMemoryTest, ProcessesBearChunksWithoutEnd) {
  expectBounded("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                "10000\r\n" + std::string(kPieceBytes, 'f') + "\r\n");
}

/// The store sends answers without end.
class EndlessStoreTest : public CrowdTest {
 protected:
  void replaceStore() {
    // The deployment's proxies write to connections that a router has closed.
    std::signal(SIGPIPE, SIG_IGN);
    deployment_->killStore();
    flood_ = std::make_unique<ScriptedServer>(
        loop_,
        [this](ScriptedConnection& connection) {
          if (isCompleteRequest(connection.received)) {
            connection.received.clear();
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            flooded_.push_back(&connection);
          }
        },
        deployment_->store());
  }

  /// Writes chunks to all calls until so many have been broken off.
  void floodUntilClosed(std::size_t calls) {
    constexpr std::size_t kMaxRounds = 100'000;
    const std::string chunk = "10000\r\n" + std::string(kPieceBytes, 'f') + "\r\n";
    for (std::size_t round = 0; round < kMaxRounds && flood_->closedByPeer() < calls; ++round) {
      for (ScriptedConnection* connection : flooded_) {
        if (connection->open() && connection->unsentBytes() < kPieceBytes) {
          connection->write(chunk);
        }
      }
      deployment_->runFor(std::chrono::milliseconds(1));
    }
    EXPECT_GE(flood_->closedByPeer(), calls);
  }

  std::unique_ptr<ScriptedServer> flood_;
  std::vector<ScriptedConnection*> flooded_;
};

// Guards against a process that is killed for its memory by answers of the store.
TEST_F(EndlessStoreTest, ProcessesBearAnswersWithoutEnd) {
  constexpr std::size_t kCalls = 24;
  replaceStore();
  floodUntilClosed(kCalls);
  EXPECT_TRUE(isServed(std::string(100, 'o')));
  expectProcessesHold();
}

}  // namespace
}  // namespace shedlever::test
