#pragma once

/// @file
/// A server may start again under the id that it had. Its lives are told apart by the moment of their start.

#include <cstdint>
#include <optional>
#include <string>

#include "shedlever/identifiers.h"

namespace shedlever {

/// What a server calls itself; one life after the other may have it.
using ServerId = StrongName<struct ServerIdTag>;

/// Milliseconds since 1970, by the server's clock.
using ServerStartMs = std::uint64_t;

/// Between id and start in the name of a life; no id holds one, as ids are parts of paths.
inline constexpr char kServerStartSeparator = '/';

/// @param start none where servers don't tell theirs: then an id has one life.
/// @return the name of the life.
inline InstanceId instanceIdOf(const ServerId& server, std::optional<ServerStartMs> start) {
  return InstanceId(start ? server.value + kServerStartSeparator + std::to_string(*start) : server.value);
}

/// @return the server whose life it is.
inline ServerId serverIdOf(const InstanceId& life) {
  return ServerId(life.value.substr(0, life.value.find(kServerStartSeparator)));
}

}  // namespace shedlever
