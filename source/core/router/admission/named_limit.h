#pragma once

/// @file
/// The request rate limit that a server instance currently names in its responses.

#include <cstdint>
#include <optional>

#include "shedlever/server_condition.h"
#include "shedlever/time.h"

namespace shedlever {

enum class LimitChange : std::uint8_t {
  None,
  Named,    ///< the server names a limit and named none before
  Changed,  ///< it names another limit
  Ended,    ///< it names no limit any more
};

/// Responses arrive in another order than the server wrote them: a large response that began before the server named a
/// limit may end long after. A lower limit therefore applies at once, while a higher one, or none, counts only if its
/// request was sent after the current limit was last confirmed. Invalid limits change nothing.
class NamedLimit {
 public:
  /// @param sent when the request was sent to the server. @param now when its response was received.
  LimitChange onResponse(const ServerCondition& condition, TimePoint sent, TimePoint now);

  /// Handles the response to a command or a health check, which need not name the limit.
  LimitChange onCommandResponse(const ServerCondition& condition, TimePoint sent, TimePoint now);

  /// @return requests per second; std::nullopt if the server names no limit.
  std::optional<double> perSecond() const { return per_second_; }

 private:
  LimitChange set(std::optional<double> per_second);

  std::optional<double> per_second_;
  /// When a response last named the current limit.
  TimePoint confirmed_at_{};
};

}  // namespace shedlever
