#pragma once

/// @file
/// Times in settings and bodies: a number and a unit, "1500ms" or "2.5s".

#include <optional>
#include <string>
#include <string_view>

#include "shedlever/time.h"

namespace shedlever {

/// @return the time; none if the text is no such time.
std::optional<Duration> parseDuration(std::string_view text);

/// @return whole milliseconds, rounded down, with their unit.
std::string formatDuration(Duration duration);

/// @return whole milliseconds, rounded down, without a unit, as logs show times.
std::string formatMilliseconds(Duration duration);

}  // namespace shedlever
