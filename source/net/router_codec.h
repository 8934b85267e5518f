#pragma once

/// @file
/// Encoding of the frames between router processes.

#include <string>
#include <string_view>

#include "shedlever/errors.h"
#include "shedlever/router_frames.h"

namespace shedlever {

/// The preface of every stream between router processes. Must change with every change of the encoding.
inline constexpr std::uint32_t kRouterPreface = 0x53'4C'52'06;

std::string encodeRouterFrame(const RouterFrame& frame);

/// @return the frame, or a DecodeError for bytes that `encodeRouterFrame` can't have produced.
leaf::result<RouterFrame> decodeRouterFrame(std::string_view bytes);

}  // namespace shedlever
