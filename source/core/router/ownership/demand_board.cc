#include "source/core/router/ownership/demand_board.h"

namespace shedlever {

namespace {

/// Told each second: what is older comes from a process that is gone.
constexpr Duration kLongest = std::chrono::seconds(3);

}  // namespace

void DemandBoard::note(const ServerDemand& demand, TimePoint now) {
  const TimePoint at = now - Duration(demand.age_us);
  Known& known = servers_[demand.node];
  if (at > known.at) {
    known = {demand.load, at};
  }
}

std::vector<ServerDemand> DemandBoard::all(TimePoint now) const {
  std::vector<ServerDemand> demands;
  for (const auto& [node, known] : servers_) {
    const Duration age = now - known.at;
    if (age <= kLongest) {
      demands.push_back({node, known.load, age.count()});
    }
  }
  return demands;
}

}  // namespace shedlever
