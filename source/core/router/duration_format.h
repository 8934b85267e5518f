#pragma once

/// @file
/// Parses and formats durations in settings and HTTP bodies: a number and a unit, such as "1500ms" or "2.5s".

#include <optional>
#include <string>
#include <string_view>

#include "shedlever/time.h"

namespace shedlever {

/// @return the duration; none if the text is not a non-negative number followed by "ms" or "s", or is too large.
std::optional<Duration> parseDuration(std::string_view text);

/// @return whole milliseconds, rounded down, with the unit "ms".
std::string formatDuration(Duration duration);

/// @return whole milliseconds, rounded down, without a unit, as in log lines.
std::string formatMilliseconds(Duration duration);

}  // namespace shedlever
