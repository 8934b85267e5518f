#pragma once

/// @file
/// What a health check of the local server (the server on this process's node) has shown.

#include <cstdint>
#include <optional>

#include "shedlever/server_condition.h"
#include "shedlever/server_instance.h"

namespace shedlever {

/// What the response to a health check says about the server.
enum class ServerHealth : std::uint8_t {
  Unknown,     ///< nothing: there was no response, or one that a server without a free slot sends as well
  Serving,     ///< the server is healthy and not leaving
  NotServing,  ///< the server is leaving or failing
};

/// @return the name for logs: "unknown", "serving" or "not-serving".
const char* toString(ServerHealth health);

struct HealthCheckResult {
  ServerHealth health = ServerHealth::Unknown;
  /// The server that responded; empty if there was no response or it does not name the server.
  ServerId server;
  /// The server's address refused the connection.
  bool refused = false;
  /// What the server says about its condition; std::nullopt if there was no response.
  std::optional<ServerCondition> condition;
};

}  // namespace shedlever
