#include "source/router/demand_exchange.h"

#include <utility>

namespace shedlever {

namespace {

/// As long as it takes until moved keys show in what their owners tell. At 95 owners the one that gathers writes 95
/// frames of 3 KB a second.
constexpr Duration kInterval = std::chrono::seconds(1);
/// Who has not told for so long is told no more.
constexpr Duration kForgetAfter = std::chrono::milliseconds(2500);

}  // namespace

DemandExchange::DemandExchange(NodeName self, ServiceName service, Ports ports)
    : self_(self), ports_(std::move(ports)), combiner_(std::move(self), std::move(service)) {}

void DemandExchange::tick() {
  const TimePoint now = ports_.clock->now();
  if (now < next_) {
    return;
  }
  next_ = now + kInterval;
  if (ports_.serves()) {
    const ServerDemand own{self_, ports_.load(), 0};
    board_.note(own, now);
    const NodeName gatherer = combiner_.choose(*ports_.directory, true, now);
    if (!gatherer.empty()) {
      ports_.links->tell(gatherer, DemandsFrame{{own}});
    }
  }
  tellAll(now);
}

void DemandExchange::tellAll(TimePoint now) {
  std::erase_if(told_by_, [now](const auto& entry) { return now - entry.second > kForgetAfter; });
  if (told_by_.empty()) {
    return;
  }
  const DemandsFrame all{board_.all(now)};
  onDemands(all);
  for (const auto& [stream, told_at] : told_by_) {
    ports_.send(stream, all);
  }
}

void DemandExchange::onTold(std::uint64_t stream, const DemandsFrame& demands) {
  const TimePoint now = ports_.clock->now();
  told_by_[stream] = now;
  for (const ServerDemand& demand : demands.servers) {
    board_.note(demand, now);
  }
}

void DemandExchange::onDemands(const DemandsFrame& demands) {
  const TimePoint now = ports_.clock->now();
  for (const ServerDemand& demand : demands.servers) {
    if (demand.node != self_) {
      ports_.directory->noteDemand(demand.node, demand.load, now - Duration(demand.age_us));
    }
  }
}

}  // namespace shedlever
