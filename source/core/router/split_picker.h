#pragma once

/// @file
/// Divides the requests of a route among its services by weight.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "shedlever/router_config.h"

namespace shedlever {

/// Smooth weighted round robin: after any number of requests each part is less than one request off its share for
/// every other part, so that short samples match the weights as well as long ones.
class SplitPicker {
 public:
  /// @param offset where in the round this process begins, so that many processes don't begin alike.
  explicit SplitPicker(std::size_t offset) : offset_(offset) {}

  /// @param route has at least one share.
  const ServiceName& pick(const Route& route);

 private:
  struct Round {
    std::vector<std::uint32_t> weights;
    std::vector<std::int64_t> credit;
  };

  static std::size_t next(Round& round);
  Round& roundOf(const Route& route);

  std::size_t offset_;
  /// By route name. A route whose weights change begins a new round.
  std::map<std::string, Round> rounds_;
};

}  // namespace shedlever
