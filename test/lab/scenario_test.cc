/// @file
/// Tests the reading and the simulation of scenarios with servers that run on or report late.

#include "source/lab/sim/scenario.h"

#include <gtest/gtest.h>

#include "source/lab/sim/simulation.h"

namespace shedlever::sim::test {
namespace {

struct ServerFaultCase {
  const char* name;
  FaultKind kind;
};

class ServerScenarioTest : public ::testing::TestWithParam<ServerFaultCase> {
 protected:
  /// @return a scenario with one fault of the kind at node 1; without faults if it cannot be read.
  static Scenario read() {
    const std::string text = std::string(R"({"length": "16s", "faults": [{"kind": ")") + GetParam().name +
                             R"(", "at": "2s", "for": "1s", "nodes": [1]}]})";
    return leaf::try_handle_all([&] { return parseScenario(text); }, [] { return Scenario(); });
  }
};

// A kind that is read as another one would simulate the wrong fault.
TEST_P(ServerScenarioTest, KindIsReadByItsName) {
  const Scenario scenario = read();
  ASSERT_EQ(scenario.faults.size(), 1U);
  EXPECT_EQ(scenario.faults.front().kind, GetParam().kind);
}

// A fault without an end would leave its keys unserved.
TEST_P(ServerScenarioTest, KeysAreServedAgainAfterTheFault) {
  const Scenario scenario = read();
  ASSERT_EQ(scenario.faults.size(), 1U);
  EXPECT_LT(simulate(scenario, 1).unavailable_longest, std::chrono::seconds(6));
}

INSTANTIATE_TEST_SUITE_P(Kinds, ServerScenarioTest,
                         ::testing::Values(ServerFaultCase{"refuse-server", FaultKind::RefuseServer},
                                           ServerFaultCase{"leave-server", FaultKind::LeaveServer},
                                           ServerFaultCase{"overlap-servers", FaultKind::OverlapServers},
                                           ServerFaultCase{"report-late", FaultKind::ReportLate}));

}  // namespace
}  // namespace shedlever::sim::test
