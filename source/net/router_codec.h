#pragma once

/// @file
/// Encoding of the frames between router processes.

#include <optional>
#include <string>
#include <string_view>

#include "shedlever/errors.h"
#include "shedlever/router_frames.h"
#include "shedlever/wire_version.h"

namespace shedlever {

/// @return the first word of a stream in that version.
constexpr std::uint32_t prefaceOf(WireVersion version) { return 0x53'4C'52'00U | version; }

/// @return the version that the first word of a stream announces; std::nullopt if this build does not know it.
std::optional<WireVersion> versionOfPreface(std::uint32_t preface);

/// @return whether receivers of that version know the kind of frame.
bool isKnownIn(const RouterFrame& frame, WireVersion version);

/// @param frame of a kind that is known in the version.
std::string encodeRouterFrame(const RouterFrame& frame, WireVersion version = kUnstatedWireVersion);

/// @return the frame, or a DecodeError for bytes that `encodeRouterFrame` can't have produced. From version 7 on, later
///   builds' bytes are decoded as well: unknown fields are skipped, unknown kinds give `UnknownFrame`, and unknown
///   enumeration values give one that promises nothing.
leaf::result<RouterFrame> decodeRouterFrame(std::string_view bytes, WireVersion version = kUnstatedWireVersion);

}  // namespace shedlever
