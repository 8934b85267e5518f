#pragma once

/// @file
/// A clock that the test advances.

#include "shedlever/time.h"

namespace shedlever::test {

class ManualClock final : public Clock {
 public:
  TimePoint now() const override { return now_; }
  void advance(Duration span) { now_ += span; }

 private:
  TimePoint now_{std::chrono::seconds(100)};
};

}  // namespace shedlever::test
