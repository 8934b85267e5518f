#pragma once

/// @file
/// How a process tells the load of its server without a request.

#include "shedlever/router_frames.h"

namespace shedlever {

/// Exchange of the `ForwardReplyFrame` by which the receiver of a `PlacementPlanFrame` reports its server's load. No
/// request has it.
inline constexpr ExchangeId kLoadReportExchange = 0;

}  // namespace shedlever
