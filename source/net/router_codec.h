#pragma once

/// @file
/// Frames between router processes to bytes and back.

#include <string>
#include <string_view>

#include "shedlever/errors.h"
#include "shedlever/router_frames.h"

namespace shedlever {

/// First word on every stream between router processes; raised with each change of the encoding.
inline constexpr std::uint32_t kRouterPreface = 0x53'4C'52'05;

std::string encodeRouterFrame(const RouterFrame& frame);

/// @return the frame, or a DecodeError for what `encodeRouterFrame` can't have written.
leaf::result<RouterFrame> decodeRouterFrame(std::string_view bytes);

}  // namespace shedlever
