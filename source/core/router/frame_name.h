#pragma once

/// @file
/// Names of the kinds of frames between router processes, for metrics.

#include <cstddef>
#include <functional>

#include "shedlever/router_frames.h"

namespace shedlever {

/// @return the name of the frame's kind, such as "owner-table".
const char* frameName(const RouterFrame& frame);

/// Receives each frame that was queued for a peer and its encoded size.
using FrameSentCallback = std::function<void(const RouterFrame& frame, std::size_t bytes)>;

}  // namespace shedlever
