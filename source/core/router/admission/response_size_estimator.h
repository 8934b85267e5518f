#pragma once

/// @file
/// Estimates the size of a server's responses for each kind of route.

#include <array>
#include <cstddef>

#include "shedlever/router_config.h"

namespace shedlever {

/// Responses below this size are not counted as load on a link.
inline constexpr double kLargeResponseBytes = 24.0 * 1024;

/// Keeps an exponential moving average of response sizes for each kind of route.
class ResponseSizeEstimator {
 public:
  void record(RouteKind kind, std::size_t bytes);

  /// @return mean response size of the kind in bytes; 0 if it is below `kLargeResponseBytes` or there is no response
  /// yet.
  double expectedBytes(RouteKind kind) const;

 private:
  static constexpr std::size_t kRouteKindCount = 3;
  std::array<double, kRouteKindCount> means_{};
};

}  // namespace shedlever
