#pragma once

/// @file
/// Reports of a server's load that answer no request.

#include "shedlever/router_frames.h"

namespace shedlever {

/// Exchange of the `ForwardReplyFrame` by which the receiver of a `PlacementPlanFrame` reports its server's load.
/// Requests have other exchanges.
inline constexpr ExchangeId kLoadReportExchange = 0;

}  // namespace shedlever
