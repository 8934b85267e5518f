/// @file
/// Tests of acknowledgements that wait for a record. Guards against one that is sent before, and against one that comes
/// too late for its server.

#include "source/router/deferred_acknowledgements.h"

#include <gtest/gtest.h>

#include <string>

namespace shedlever::test {
namespace {

using std::chrono::milliseconds;

class DeferredAcknowledgementsTest : public ::testing::Test {
 protected:
  void defer(const std::string& name, Duration wait) {
    acknowledgements_.defer(now_, now_ + wait,
                            [this, name](bool overdue) { sent_.push_back(name + (overdue ? " overdue" : "")); });
  }

  void passTime(Duration time) {
    now_ += time;
    acknowledgements_.sendDue(now_);
  }

  bool recorded_ = false;
  TimePoint now_{std::chrono::seconds(100)};
  std::vector<std::string> sent_;
  DeferredAcknowledgements acknowledgements_{[this] { return recorded_; }};
};

TEST_F(DeferredAcknowledgementsTest, IsSentAtOnceIfAllIsRecorded) {
  recorded_ = true;
  defer("a", milliseconds(600));
  EXPECT_EQ(sent_, std::vector<std::string>{"a"});
}

TEST_F(DeferredAcknowledgementsTest, WaitsForTheRecord) {
  defer("a", milliseconds(600));
  defer("b", milliseconds(600));
  passTime(milliseconds(599));
  EXPECT_TRUE(sent_.empty());
  recorded_ = true;
  acknowledgements_.sendDue(now_);
  EXPECT_EQ(sent_, (std::vector<std::string>{"a", "b"}));
  acknowledgements_.sendDue(now_);
  EXPECT_EQ(sent_.size(), 2U);
}

TEST_F(DeferredAcknowledgementsTest, IsSentOverdueWithoutARecord) {
  defer("a", milliseconds(600));
  passTime(milliseconds(300));
  defer("b", milliseconds(600));
  passTime(milliseconds(300));
  EXPECT_EQ(sent_, std::vector<std::string>{"a overdue"});
  passTime(milliseconds(300));
  EXPECT_EQ(sent_, (std::vector<std::string>{"a overdue", "b overdue"}));
}

TEST_F(DeferredAcknowledgementsTest, AcknowledgementThatIsSentMayDeferAnother) {
  acknowledgements_.defer(now_, now_ + milliseconds(600), [this](bool) { defer("b", milliseconds(600)); });
  recorded_ = true;
  acknowledgements_.sendDue(now_);
  EXPECT_EQ(sent_, std::vector<std::string>{"b"});
}

}  // namespace
}  // namespace shedlever::test
