#pragma once

/// @file
/// How large a server's answers are, by the kind of their requests.

#include <array>
#include <cstddef>

#include "shedlever/router_config.h"

namespace shedlever {

/// Answers below this size are no load for a link.
inline constexpr double kLargeResponseBytes = 24.0 * 1024;

class ResponseSizeEstimator {
 public:
  void record(RouteKind kind, std::size_t bytes);

  /// @return mean size of the kind's answers; 0 while they are small, or none has come.
  double expectedBytes(RouteKind kind) const;

 private:
  static constexpr std::size_t kKinds = 3;
  std::array<double, kKinds> means_{};
};

}  // namespace shedlever
