/// @file
/// Configurations with values that this build does not know: what stays in force, and what takes the place of the rest.

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "platform/config_protocol.h"

namespace shedlever::platform::test {
namespace {

using nlohmann::json;

json validDocument() {
  return json::parse(R"({"version":"0c","routes":[
    {"name":"r1","host":"a.example","pathPrefix":"/x/","kind":"idempotent","timeout":"1200ms","targetLatency":"400ms",
     "priority":1,"service":"s1","maxAttempts":2},
    {"name":"r2","host":"a.example","pathPrefix":"/x/y/","kind":"non_idempotent","priority":2,"service":"s2",
     "maxAttempts":1}],
    "services":[{"name":"s1","healthPath":"/health","maxConnections":110,"sharded":true,"coldStart":"3s",
                 "warmupPerS":6.5},
                {"name":"s2","healthPath":"/h2","maxConnections":5}],
    "limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeout":"3000ms","idleTimeout":"15s"}})");
}

/// @return the decoded configuration; std::nullopt if the document is refused as a whole.
std::optional<RouterConfig> decode(const json& document) {
  const ConfigProtocolImpl protocol;
  const ObjectsByName parts = {{kConfigObjectName, {kConfigObjectName, 1, document.dump()}}};
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<RouterConfig>> {
        BOOST_LEAF_AUTO(config, protocol.decode(parts));
        return std::optional<RouterConfig>(std::move(config));
      },
      [] { return std::optional<RouterConfig>(); });
}

// Guards against one unknown word voiding the whole configuration, so that no request is served.
TEST(ConfigToleranceTest, RouteOfUnknownKindRunsAtMostOnceAndTheOthersStayInForce) {
  json document = validDocument();
  document["routes"][0]["kind"] = "sometimes";
  const auto config = decode(document);
  ASSERT_TRUE(config);
  EXPECT_EQ(config->routes[0].kind, RouteKind::AtMostOnce);
  EXPECT_EQ(config->routes[0].shares.size(), 1U);
  ASSERT_EQ(config->ignored.list.size(), 1U);
  EXPECT_EQ(config->ignored.list[0].location, "routes/0/kind");
}

TEST(ConfigToleranceTest, UploadsRunAtMostOnce) {
  json document = validDocument();
  document["routes"][0]["kind"] = "upload";
  const auto config = decode(document);
  ASSERT_TRUE(config);
  EXPECT_EQ(config->routes[0].kind, RouteKind::AtMostOnce);
  EXPECT_TRUE(config->ignored.empty());
}

// Guards against requests of an unreadable route being matched by a shorter prefix and run by another service.
TEST(ConfigToleranceTest, InvalidRouteKeepsItsPlaceWithoutAService) {
  for (const char* field : {"timeout", "targetLatency", "priority", "maxAttempts", "service"}) {
    json document = validDocument();
    document["routes"][1][field] = json::array({"odd"});
    const auto config = decode(document);
    ASSERT_TRUE(config) << field;
    ASSERT_EQ(config->routes.size(), 2U) << field;
    EXPECT_EQ(config->routes[1].path_prefix, "/x/y/") << field;
    EXPECT_TRUE(config->routes[1].shares.empty()) << field;
    EXPECT_EQ(config->routes[0].shares.size(), 1U) << field;
  }
}

TEST(ConfigToleranceTest, RouteWithoutAPlaceIsLeftOut) {
  for (const char* field : {"host", "pathPrefix"}) {
    json document = validDocument();
    document["routes"][1].erase(field);
    const auto config = decode(document);
    ASSERT_TRUE(config) << field;
    EXPECT_EQ(config->routes.size(), 1U) << field;
    EXPECT_EQ(config->ignored.list.size(), 1U) << field;
  }
}

// Guards against keyed requests being sent to any server because it is unknown whether the service is divided by key.
TEST(ConfigToleranceTest, RoutesToAServiceOfUnknownDivisionAreNotServed) {
  json document = validDocument();
  document["services"][0]["sharded"] = "by-range";
  const auto config = decode(document);
  ASSERT_TRUE(config);
  EXPECT_TRUE(config->routes[0].shares.empty());
  EXPECT_EQ(config->routes[1].shares.size(), 1U);
}

TEST(ConfigToleranceTest, UnknownFieldsAreIgnoredWithoutAFinding) {
  json document = validDocument();
  document["later"] = {{"a", 1}};
  document["routes"][0]["later"] = "x";
  document["services"][0]["protocol"] = "h9";
  const auto config = decode(document);
  ASSERT_TRUE(config);
  EXPECT_TRUE(config->ignored.empty());
}

// Each value of the document in turn is replaced by values of every other type.
TEST(ConfigToleranceTest, OneStrangeValueNeverVoidsTheOtherRoutes) {
  const std::vector<json> strange = {"odd", -7, 1.5, true, nullptr, json::array({1}), json::object({{"k", "v"}})};
  const json valid = validDocument();
  const json flat = valid.flatten();
  for (const auto& [pointer, unused] : flat.items()) {
    if (pointer == "/version") {
      continue;
    }
    for (const json& value : strange) {
      json document = valid;
      document[json::json_pointer(pointer)] = value;
      const auto config = decode(document);
      ASSERT_TRUE(config) << pointer << " " << value;
      const bool second_is_changed = pointer.starts_with("/routes/1") || pointer.starts_with("/services/1");
      const Route& untouched = config->routes[second_is_changed ? 0 : config->routes.size() - 1];
      EXPECT_EQ(untouched.shares.size(), 1U) << pointer << " " << value;
    }
  }
}

TEST(ConfigToleranceTest, DocumentOfUnknownStructureIsRefusedAsAWhole) {
  for (const char* field : {"version", "routes", "services"}) {
    json document = validDocument();
    document[field] = "odd";
    EXPECT_FALSE(decode(document)) << field;
  }
  EXPECT_FALSE(decode(json::array()));
}

}  // namespace
}  // namespace shedlever::platform::test
