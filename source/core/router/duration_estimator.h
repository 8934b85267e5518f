#pragma once

/// @file
/// How long a server takes for requests, by their route.

#include <map>
#include <string>

#include "shedlever/time.h"

namespace shedlever {

/// Smoothed mean and mean deviation, as TCP keeps them for its round trips: of times that vary by half of their mean,
/// some four of five are below the sum of the two.
class DurationEstimator {
 public:
  void record(const std::string& route, Duration time);

  /// @return time within which most requests of the route end; `otherwise` when none has ended yet.
  Duration expected(const std::string& route, Duration otherwise) const;

  /// Another server runs here now.
  void reset() { estimates_.clear(); }

 private:
  struct Estimate {
    Duration mean{};
    Duration deviation{};
  };

  std::map<std::string, Estimate, std::less<>> estimates_;
};

}  // namespace shedlever
