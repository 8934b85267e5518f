/// @file
/// Heartbeats and stored objects of another writer that no decoder expects: nested very deeply, with numbers that no
/// type holds, with bytes that are no text. They must end no process and hide no other entry.

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "platform/platform_store.h"
#include "platform/report_protocol.h"
#include "platform/server_protocol.h"
#include "source/router/node_records.h"

namespace shedlever::platform::test {
namespace {

/// Deep enough that recursive code on the value exhausts the stack.
constexpr std::size_t kDeep = 400'000;

std::string deeplyNested() { return std::string(kDeep, '[') + std::string(kDeep, ']'); }

HttpRequest heartbeat(const std::string& id, const std::string& more_fields) {
  return {"POST",
          "/instances/" + id + "/heartbeat",
          {},
          R"({"service":"s","address":"127.0.0.1:8080","slots":4,"state":"ready")" + more_fields + "}"};
}

std::optional<ServerReport> read(const HttpRequest& request) { return ReportProtocolImpl().readReport(request); }

TEST(OddHeartbeatTest, ReadsAnOrdinaryHeartbeat) {
  EXPECT_TRUE(read(heartbeat("i-1", "")));
  EXPECT_TRUE(read(heartbeat("i-1", R"(,"other":[1,{"a":[2]}])")));
}

// Guards against a process that ends because it writes an id that is no UTF-8 text into its record.
TEST(OddHeartbeatTest, RejectsIdsThatAreNoPlainText) {
  for (const std::string& id : {std::string("i-\xff\xfe"), std::string("i-\x01"), std::string("i 1"),
                                std::string("i-\xc3\xa9"), std::string(1000, 'i')}) {
    EXPECT_FALSE(read(heartbeat(id, ""))) << id;
    EXPECT_FALSE(read({"POST", "/instances/" + id + "/deregister", {}, "{}"})) << id;
  }
}

// Guards against a process that ends with an exhausted stack as it copies a nested list.
TEST(OddHeartbeatTest, RejectsDeeplyNestedHeartbeats) {
  EXPECT_FALSE(read(heartbeat("i-1", R"(,"holds":)" + deeplyNested())));
  EXPECT_FALSE(read(heartbeat("i-1", R"(,"other":)" + deeplyNested())));
}

TEST(OddHeartbeatTest, RejectsPortsOutOfRange) {
  for (const char* address : {"127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999999999999", "127.0.0.1:-1"}) {
    HttpRequest request = heartbeat("i-1", "");
    const std::string usual = "127.0.0.1:8080";
    request.body.replace(request.body.find(usual), usual.size(), address);
    EXPECT_FALSE(read(request)) << address;
  }
}

TEST(OddHeartbeatTest, IgnoresNumbersTooLargeInFieldsThatAreNotRead) {
  EXPECT_TRUE(read(heartbeat("i-1", R"(,"other":1e400)")));
  EXPECT_FALSE(read(heartbeat("i-1", R"(,"callSeq":1e400)")));
  EXPECT_FALSE(read(heartbeat("i-1", R"(,"born":99999999999999999999999)")));
}

TEST(OddHeartbeatTest, ReadsTextThatLooksOddInsideStrings) {
  const std::string brackets(1000, '[');
  EXPECT_TRUE(read(heartbeat("i-1", R"(,"other":"\"1e400 )" + brackets + R"(\\")")));
  EXPECT_TRUE(read(heartbeat("i-1", R"(,"other":"\"1e400 )" + brackets + R"(\\","number":-1e400)")));
}

// Guards against a process that ends because the bytes of a server's header are no UTF-8 text.
TEST(OddHandoverTest, IgnoresHandoversThatAreNoPlainText) {
  const ServerProtocolImpl protocol;
  EXPECT_EQ(protocol.handoverOf({200, {{"X-Handover", "5c0e7a21"}}, {}}), "5c0e7a21");
  EXPECT_EQ(protocol.handoverOf({200, {{"X-Handover", "\xff\xfe"}}, {}}), "");
}

class OddObjectTest : public ::testing::Test {
 protected:
  StoreListing list(const std::vector<std::string>& pages) {
    pages_ = pages;
    StoreListing listing;
    store_.list("k", ListFreshness::Latest, [&](const StoreListing& received) { listing = received; });
    return listing;
  }

  std::vector<std::string> pages_;
  std::size_t calls_ = 0;
  std::size_t unreadable_ = 0;
  PlatformStore store_{[this](const StoreCall&, const std::function<void(std::optional<HttpResponse>)>& done) {
                         done(HttpResponse{200, {}, pages_.at(calls_++)});
                       },
                       [this](const std::string&) { ++unreadable_; }};
};

std::string object(const std::string& name, const std::string& spec) {
  return R"({"metadata":{"name":")" + name + R"(","revision":5},"spec":)" + spec + "}";
}

std::string page(const std::string& items, bool more = false) {
  return R"({"items":[)" + items + R"(],"more":)" + (more ? "true" : "false") + R"(,"at":7})";
}

std::vector<std::string> namesOf(const StoreListing& listing) {
  std::vector<std::string> names;
  for (const MetadataObject& listed : listing.objects) {
    names.push_back(listed.name);
  }
  return names;
}

const std::vector<std::string> kOddSpecs = {deeplyNested(), R"({"a":)" + deeplyNested() + "}", R"({"weight":1e400})",
                                            R"({"weight":-1e999999999})"};

// Guards against a process that ends, or that never reads the list again, because of one odd object in it.
TEST_F(OddObjectTest, ListHoldsTheObjectsBesideAnOddOne) {
  for (const std::string& spec : kOddSpecs) {
    calls_ = 0;
    const StoreListing listing = list({page(object("a", "{}") + "," + object("odd", spec) + "," + object("z", "{}"))});
    EXPECT_TRUE(listing.available);
    const std::vector<std::string> names = namesOf(listing);
    EXPECT_EQ(names.front(), "a");
    EXPECT_EQ(names.back(), "z");
  }
}

// Guards against the rest of a list that is left out because the last object of a page has no name.
TEST_F(OddObjectTest, ListContinuesAfterAPageThatEndsWithAnOddObject) {
  const StoreListing listing = list({page(object("a", "{}") + R"(,{"metadata":7})", true), page(object("b", "{}"))});
  EXPECT_TRUE(listing.available);
  EXPECT_EQ(namesOf(listing), (std::vector<std::string>{"a", "b"}));
}

TEST_F(OddObjectTest, WatchHoldsTheEventsBesideAnOddOne) {
  for (const std::string& spec : kOddSpecs) {
    calls_ = 0;
    pages_ = {R"({"events":[{"object":)" + object("odd", spec) + R"(},{"object":)" + object("b", "{}") +
              R"(}],"at":8})"};
    WatchResult result;
    store_.watch("k", 6, std::chrono::seconds(20), [&](const WatchResult& received) { result = received; });
    EXPECT_EQ(result.status, WatchStatus::Events);
    ASSERT_FALSE(result.events.empty());
    EXPECT_EQ(result.events.back().object.name, "b");
  }
}

TEST_F(OddObjectTest, SingleOddObjectIsUnknown) {
  for (const std::string& spec : {kOddSpecs[0], kOddSpecs[1]}) {
    calls_ = 0;
    pages_ = {object("odd", spec)};
    StoreStatus status = StoreStatus::Done;
    store_.get("k", "odd", [&](const StoreAnswer& answer) { status = answer.status; });
    EXPECT_EQ(status, StoreStatus::Unknown);
  }
}

TEST(OddNodeRecordTest, RejectsRecordsThatNameNoPeer) {
  const auto record = [](const std::string& peer, const std::string& more) {
    return decodeNodeRecord(R"({"node":"n","incarnation":1,"peer":")" + peer +
                            R"(","zone":"z","service":"s","slots":4)" + more + "}");
  };
  EXPECT_TRUE(record("127.0.0.1:8080", ""));
  EXPECT_FALSE(record("127.0.0.1:0", ""));
  EXPECT_FALSE(record("127.0.0.1:70000", ""));
  EXPECT_FALSE(record("127.0.0.1:8080", R"(,"quarantined":)" + deeplyNested()));
  EXPECT_FALSE(record("127.0.0.1:8080", R"(,"quarantined":[[1e400,1,1]])"));
}

TEST(OddNodeRecordTest, EncodesTextThatIsNotUtf8) {
  NodeRecord record;
  record.node = NodeName("n");
  record.peer = {"127.0.0.1", 1};
  record.instance = InstanceId("i-\xff");
  EXPECT_FALSE(encodeNodeRecord(record).empty());
}

}  // namespace
}  // namespace shedlever::platform::test
