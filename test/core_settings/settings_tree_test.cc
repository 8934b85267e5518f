#include "source/core/settings/settings_tree.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "source/core/settings/settings_effective.h"
#include "test/core_settings/settings_samples.h"

namespace shedlever::test {
namespace {

const std::string kSha(64, 'a');

/// Invalid documents, and the location and a part of the message of each expected finding.
struct FaultCase {
  const char* name;
  DocumentTexts documents;
  std::vector<Finding> expected;
};

std::string tenants(const std::string& list) { return R"({"path_prefix":"/a/","tenants":[)" + list + "]}"; }

std::string tenant(const std::string& name, const std::string& sha) {
  return R"({"name":")" + name + R"(","credential_sha256":")" + sha + R"("})";
}

/// Invalid values, keys and documents.
std::vector<FaultCase> invalidValueCases() {
  return {
      {"malformed", {{"deployment", "{\n  \"service\": {,}\n}"}}, {{"deployment:2:15", "is not valid JSON"}}},
      {"not an object", {{"services/a", "[1]"}}, {{"services/a#", "must be a JSON object, not array"}}},
      {"key twice",
       {{"services/a", R"({"path_prefix":"/a/","retry":{"attempts":1,"attempts":2}})"}},
       {{"services/a#/retry/attempts", "given twice"}}},
      {"unknown document", {{"deploiment", "{}"}}, {{"deploiment", "Did you mean \"deployment\"?"}}},
      {"bad service name",
       {{"services/A b", R"({"path_prefix":"/a/"})"}},
       {{"services/A b", "does not name a service"}}},
      {"unknown keys at every level",
       {{"deployment", R"({"servic":{},"service":{"path_prefix":"/x/","retry":{"attempt":1}}})"},
        {"services/a", R"({"path_prefix":"/a/","slots":1,"backend":{"slotz":1},"backends":{"b":{"slot":2}}})"}},
       {{"deployment#/servic", "Did you mean \"service\"?"},
        {"deployment#/service/retry/attempt", "Did you mean \"attempts\"?"},
        {"deployment#/service/path_prefix", "not a known setting here"},
        {"services/a#/slots", "not a known setting here"},
        {"services/a#/backend/slotz", "Did you mean \"slots\"?"},
        {"services/a#/backends/b/slot", "Did you mean \"slots\"?"}}},
      {"wrong types",
       {{"services/a",
         R"({"path_prefix":5,"divided_by_key":1,"priority":1.5,"key_source":"body","backend":[],"tenants":{},
             "claim_retention_ms":"1d","retry":{"budget_ratio":true},"backends":{"b":3}})"}},
       {{"services/a#/path_prefix", "must be a path"},
        {"services/a#/divided_by_key", "must be true or false, not 1"},
        {"services/a#/priority", "must be a whole number, 0 to 100, not 1.5"},
        {"services/a#/key_source", "must be \"path\" or \"header\""},
        {"services/a#/backend", "must be an object, not array"},
        {"services/a#/tenants", "must be a list of tenants, not object"},
        {"services/a#/claim_retention_ms", "must be a number of milliseconds"},
        {"services/a#/retry/budget_ratio", "must be a number"},
        {"services/a#/backends/b", "must be an object, not number"}}},
      {"out of range",
       {{"deployment", R"({"service":{"target_latency_ms":-1,"priority":101}})"},
        {"services/a", R"({"path_prefix":"/a/","retry":{"budget_ratio":1.01},"body_limit":99999999999999999999})"}},
       {{"deployment#/service/target_latency_ms", "1 to 3600000, not -1"},
        {"deployment#/service/priority", "0 to 100, not 101"},
        {"services/a#/retry/budget_ratio", "0 to 1, not 1.01"},
        {"services/a#/body_limit", "must be a whole number"}}},
  };
}

/// Values that contradict each other.
std::vector<FaultCase> inconsistentValueCases() {
  return {
      {"no path prefix", {{"services/a", "{}"}}, {{"services/a#/path_prefix", "is required"}}},
      {"overlapping prefixes",
       {{"services/a", R"({"path_prefix":"/a/"})"}, {"services/b", R"({"path_prefix":"/a/b/"})"}},
       {{"services/b#/path_prefix", "overlaps with \"/a/\" of services/a"}}},
      {"at most once and repeatable, inherited",
       {{"deployment", R"({"service":{"once_only":true}})"},
        {"services/a", R"({"path_prefix":"/a/","repeatable":true})"}},
       {{"deployment#/service/once_only", "excludes \"repeatable\""}}},
      {"deadlines",
       {{"services/a", R"({"path_prefix":"/a/","default_deadline_ms":90000})"}},
       {{"services/a#/default_deadline_ms", "longest_deadline_ms"}}},
      {"key header",
       {{"services/a", R"({"path_prefix":"/a/","key_source":"header"})"}},
       {{"services/a#/key_header", "is required"}}},
      {"target latency, inherited",
       {{"deployment", R"({"service":{"target_latency_ms":90000}})"}, {"services/a", R"({"path_prefix":"/a/"})"}},
       {{"deployment#/service/target_latency_ms", "longest_deadline_ms"}}},
      {"health path",
       {{"services/a", R"({"path_prefix":"/a/","backends":{"b-1":{"health_path":"health"}}})"}},
       {{"services/a#/backends/b-1/health_path", "must be a path"}}},
      {"tenants",
       {{"services/a", tenants(tenant("t", kSha) + "," + tenant("t", std::string(64, 'b')) + "," + tenant("u", kSha) +
                               R"(,{"name":"V"},3)")}},
       {{"services/a#/tenants/1/name", "earlier tenant"},
        {"services/a#/tenants/2/credential_sha256", "credential of tenant \"t\""},
        {"services/a#/tenants/3/name", "must be a name"},
        {"services/a#/tenants/3/credential_sha256", "is required"},
        {"services/a#/tenants/4", "must be an object"}}},
      {"one credential, two tenants",
       {{"services/a", tenants(tenant("t", kSha))},
        {"services/b", R"({"path_prefix":"/b/","tenants":[)" + tenant("u", kSha) + "]}"}},
       {{"services/b#/tenants/0/credential_sha256", "names tenant \"t\" in services/a"}}},
  };
}

/// Each kind of fault must be reported at its location, without further findings.
TEST(SettingsTree, ReportsEachFaultAtItsLocation) {
  std::vector<FaultCase> cases = invalidValueCases();
  const std::vector<FaultCase> inconsistent = inconsistentValueCases();
  cases.insert(cases.end(), inconsistent.begin(), inconsistent.end());
  for (const FaultCase& fault : cases) {
    SCOPED_TRACE(fault.name);
    const Findings findings = findingsOf(makeDocuments(fault.documents));
    EXPECT_EQ(findings.list.size(), fault.expected.size()) << toString(findings);
    for (const Finding& expected : fault.expected) {
      const auto matches = [&expected](const Finding& finding) {
        return finding.location == expected.location && finding.message.find(expected.message) != std::string::npos;
      };
      EXPECT_TRUE(std::any_of(findings.list.begin(), findings.list.end(), matches))
          << "missing " << expected.location << ": " << expected.message << "\nfound\n"
          << toString(findings);
    }
  }
}

TEST(SettingsTree, NoDocumentsResolveToEmptyDeployment) {
  const DeploymentSettings settings = resolved({});
  EXPECT_EQ(settings.version, 0U);
  EXPECT_TRUE(settings.services.empty());
}

/// Value of one setting at each level; nothing if the level does not set it.
struct Levels {
  std::optional<std::uint32_t> deployment;
  std::optional<std::uint32_t> service;
  std::optional<std::uint32_t> backend;
};

std::string slotsObject(const std::optional<std::uint32_t>& slots) {
  return slots ? R"({"slots":)" + std::to_string(*slots) + "}" : "{}";
}

Documents documentsWith(const Levels& levels) {
  return makeDocuments({{"deployment", R"({"service":{"backend":)" + slotsObject(levels.deployment) + "}}"},
                        {"services/a", R"({"path_prefix":"/a/","backend":)" + slotsObject(levels.service) +
                                           R"(,"backends":{"b":)" + slotsObject(levels.backend) + "}}"}});
}

std::string valueAt(const std::vector<ValueSource>& values, const std::string& path) {
  for (const ValueSource& value : values) {
    if (value.path == path) {
      return value.value + " " + value.source;
    }
  }
  return "absent";
}

std::optional<std::uint32_t> arbitrarySlots() {
  const rc::Maybe<std::uint32_t> slots = *rc::gen::maybe(rc::gen::inRange<std::uint32_t>(1, 130));
  return slots ? std::optional<std::uint32_t>(*slots) : std::nullopt;
}

RC_GTEST_PROP(SettingsTree, EffectiveValueIsFromLowestLevelThatSetsIt, ()) {
  const Levels levels{arbitrarySlots(), arbitrarySlots(), arbitrarySlots()};
  const Documents documents = documentsWith(levels);
  const DeploymentSettings settings = resolved(documents);
  RC_ASSERT(settings.services.size() == 1U);
  const ServiceSettings& service = settings.services.at(ServiceName("a"));
  const std::uint32_t at_service = levels.service.value_or(levels.deployment.value_or(BackendSettings{}.slots));
  const std::uint32_t at_backend = levels.backend.value_or(at_service);
  RC_ASSERT(service.backend.slots == at_service);
  RC_ASSERT(service.backend_overrides.at(NodeName("b")).slots == at_backend);
  const std::string service_source = levels.service ? "services/a" : levels.deployment ? "deployment" : "default";
  const std::string backend_source = levels.backend ? "services/a/backends/b" : service_source;
  const auto values = leaf::try_handle_all([&] { return explainSettings(documents, ServiceName("a")); },
                                           [] { return std::vector<ValueSource>(); });
  RC_ASSERT(valueAt(values, "/backend/slots") == std::to_string(at_service) + " " + service_source);
  RC_ASSERT(valueAt(values, "/backends/b/slots") == std::to_string(at_backend) + " " + backend_source);
}

RC_GTEST_PROP(SettingsTree, EffectiveSettingsAsDocumentResolveToThemselves, ()) {
  const std::uint32_t slots = *rc::gen::inRange<std::uint32_t>(1, 130);
  const std::uint32_t microseconds = *rc::gen::inRange<std::uint32_t>(10000, 50000000);
  const std::string milliseconds =
      std::to_string(microseconds / 1000) + "." + std::to_string(1000 + microseconds % 1000).substr(1);
  const DeploymentSettings settings = resolved(
      makeDocuments({{"deployment", R"({"service":{"target_latency_ms":)" + milliseconds + "}}"},
                     {"services/a", R"({"path_prefix":"/a/","backends":{"b":{"slots":)" + std::to_string(slots) +
                                        R"(}},"tenants":[)" + tenant("t", kSha) + "]}"}}));
  RC_ASSERT(settings.services.size() == 1U);
  const ServiceSettings& service = settings.services.at(ServiceName("a"));
  RC_ASSERT(service.target_latency == Duration(microseconds));
  const std::string effective = effectiveService(service).dump();
  const DeploymentSettings resolved_again = resolved(makeDocuments({{"services/a", effective}}));
  RC_ASSERT(resolved_again.services.size() == 1U);
  RC_ASSERT(effectiveService(resolved_again.services.at(ServiceName("a"))).dump() == effective);
}

/// @return any JSON value, with keys that settings documents use.
Json arbitraryJson(int depth) {
  const int kind = *rc::gen::inRange(0, depth > 0 ? 7 : 5);
  switch (kind) {
    case 0:
      return nullptr;
    case 1:
      return *rc::gen::arbitrary<bool>();
    case 2:
      return *rc::gen::arbitrary<std::int64_t>();
    case 3:
      return *rc::gen::arbitrary<double>();
    case 4:
      return *rc::gen::string<std::string>();
    default:
      break;
  }
  Json json = kind == 5 ? Json::array() : Json::object();
  const std::vector<std::string> keys = {"cell",    "service", "backend",  "backends",
                                         "tenants", "slots",   "lease_ms", "name"};
  for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
    if (kind == 5) {
      json.push_back(arbitraryJson(depth - 1));
    } else {
      json[*rc::gen::elementOf(keys)] = arbitraryJson(depth - 1);
    }
  }
  return json;
}

// Guards against inputs that crash the process or raise another error.
RC_GTEST_PROP(SettingsTree, ArbitraryDocumentResolvesOrHasFindings, ()) {
  const std::string text = arbitraryJson(4).dump(-1, ' ', false, Json::error_handler_t::replace);
  const std::string truncated = text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size() + 1));
  findingsOf(makeDocuments({{"deployment", text}, {"services/a", text}, {"services/b", truncated}}));
}

TEST(SettingsTree, TooDeepNestingIsReported) {
  const int depth = 200000;
  std::string text = R"({"cell":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
  const Findings findings = findingsOf(makeDocuments({{"deployment", text}}));
  ASSERT_FALSE(findings.empty());
  EXPECT_NE(findings.list[0].message.find("nested deeper"), std::string::npos) << toString(findings);
}

}  // namespace
}  // namespace shedlever::test
