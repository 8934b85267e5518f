#pragma once

/// @file
/// Instance ids of servers. A server may restart under the same server id; the start time distinguishes its instances.

#include <cstdint>
#include <optional>
#include <string>

#include "shedlever/identifiers.h"

namespace shedlever {

/// The id that a server reports; successive instances may share it.
using ServerId = StrongName<struct ServerIdTag>;

/// Start time of a server instance, in milliseconds since the Unix epoch by the server's clock.
using ServerStartMs = std::uint64_t;

/// Separates server id and start time in an instance id. Server ids contain no slash, as they are path segments.
inline constexpr char kServerStartSeparator = '/';

/// @param start std::nullopt if servers don't report it; a server id then has a single instance.
inline InstanceId instanceIdOf(const ServerId& server, std::optional<ServerStartMs> start) {
  return InstanceId(start ? server.value + kServerStartSeparator + std::to_string(*start) : server.value);
}

/// @return the id of the server that the instance belongs to.
inline ServerId serverIdOf(const InstanceId& instance) {
  return ServerId(instance.value.substr(0, instance.value.find(kServerStartSeparator)));
}

}  // namespace shedlever
