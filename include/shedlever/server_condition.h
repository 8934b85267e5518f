#pragma once

/// @file
/// What a server says about its own condition in the headers of its responses.

#include <optional>

namespace shedlever {

struct ServerCondition {
  /// Requests per second that the server takes from all nodes together, finite and not negative; std::nullopt if the
  /// response names no limit or an invalid one.
  std::optional<double> request_limit;
  /// The response names a limit that is not such a number.
  bool invalid_limit = false;
  /// The server is leaving and must not be sent new requests.
  bool leaving = false;
};

}  // namespace shedlever
