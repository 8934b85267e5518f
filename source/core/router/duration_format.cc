#include "source/core/router/duration_format.h"

#include <charconv>

namespace shedlever {

namespace {

constexpr double kMicrosecondsPerMillisecond = 1000.0;
constexpr double kMicrosecondsPerSecond = 1'000'000.0;
/// About 32 years; longer durations are rejected as input errors.
constexpr double kMaxMicroseconds = 1e15;

}  // namespace

std::optional<Duration> parseDuration(std::string_view text) {
  double number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || number < 0) {
    return std::nullopt;
  }
  const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
  if (unit != "ms" && unit != "s") {
    return std::nullopt;
  }
  const double microseconds = number * (unit == "ms" ? kMicrosecondsPerMillisecond : kMicrosecondsPerSecond);
  if (!(microseconds < kMaxMicroseconds)) {
    return std::nullopt;
  }
  return Duration(static_cast<Duration::rep>(microseconds));
}

std::string formatDuration(Duration duration) { return formatMilliseconds(duration) + "ms"; }

std::string formatMilliseconds(Duration duration) {
  return std::to_string(std::chrono::floor<std::chrono::milliseconds>(duration).count());
}

}  // namespace shedlever
