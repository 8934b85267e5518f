/// @file
/// Acceptance and rejection of server reports.

#include "source/core/router/directory/report_filter.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

ServerReport report(const std::string& instance, std::uint64_t sequence) {
  ServerReport made;
  made.instance = InstanceId(instance);
  made.service = ServiceName("s");
  made.address = {"10.0.0.1", 80};
  made.sequence = sequence;
  return made;
}

TEST(ReportFilterTest, LateAndForeignReportsAreRejected) {
  ReportFilter filter(ServiceName("s"), {"10.0.0.1", 80});
  EXPECT_TRUE(filter.accept(report("i-1", 4)));
  EXPECT_FALSE(filter.accept(report("i-1", 4)));
  EXPECT_FALSE(filter.accept(report("i-1", 3)));
  EXPECT_TRUE(filter.accept(report("i-1", 5)));
  EXPECT_TRUE(filter.accept(report("i-2", 1)));
  filter.markEnded(InstanceId("i-1"));
  EXPECT_FALSE(filter.accept(report("i-1", 9)));
  ServerReport other = report("i-3", 1);
  other.service = ServiceName("t");
  EXPECT_FALSE(filter.accept(other));
  other = report("i-3", 1);
  other.address.port = 81;
  EXPECT_FALSE(filter.accept(other));
}

TEST(ReportFilterTest, OnlyReportsOfTheLatestInstanceAreAccepted) {
  ReportFilter filter(ServiceName("s"), {"10.0.0.1", 80});
  const auto instance_report = [](ServerStartMs start, std::uint64_t sequence) {
    ServerReport made = report("i-1", sequence);
    made.start = start;
    made.instance = instanceIdOf(ServerId("i-1"), start);
    return made;
  };
  EXPECT_TRUE(filter.accept(instance_report(2000, 5)));
  EXPECT_TRUE(filter.accept(instance_report(3000, 1)));
  EXPECT_TRUE(filter.accept(instance_report(3000, 2)));
  EXPECT_FALSE(filter.accept(instance_report(2000, 6)));
  EXPECT_FALSE(filter.accept(report("i-1", 99))) << "a report without a start from a server that reports its start";
}

TEST(ReportFilterTest, ReportsWithoutANumberAreAccepted) {
  ReportFilter filter(ServiceName("s"), {"10.0.0.1", 80});
  ServerReport unnumbered = report("i-1", 0);
  unnumbered.sequence.reset();
  EXPECT_TRUE(filter.accept(unnumbered));
  EXPECT_TRUE(filter.accept(unnumbered));
}

}  // namespace
}  // namespace shedlever::test
