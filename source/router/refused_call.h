#pragma once

/// @file
/// Calls to the local server by which a router process learns that the server's address refuses connections.

#include <cstdint>

namespace shedlever {

enum class RefusedCall : std::uint8_t {
  Command,  ///< a grant or a release
  Request,
  HealthCheck,
};

/// @return the name in logs.
const char* toString(RefusedCall call);

}  // namespace shedlever
