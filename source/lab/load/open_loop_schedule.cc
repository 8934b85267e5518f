#include "source/lab/load/open_loop_schedule.h"

#include <cmath>

namespace shedlever::load {

OpenLoopSchedule::OpenLoopSchedule(double rate, std::uint64_t seed) : rate_(rate), random_(seed) {}

Duration OpenLoopSchedule::next() {
  constexpr double kMicroseconds = 1e6;
  seconds_ += -std::log(1.0 - random_.fraction()) / rate_;
  return Duration(static_cast<Duration::rep>(seconds_ * kMicroseconds));
}

}  // namespace shedlever::load
