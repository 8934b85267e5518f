#include "source/core/router/ownership/placement/load_history.h"

#include <algorithm>
#include <cmath>

namespace shedlever {

namespace {

/// Averaging time of a reported load: an owner counts requests with a half-life of one second.
constexpr double kCountedSeconds = 1.44;
/// Older loads are forgotten, because the most requested keys change within seconds.
constexpr double kMaxHistorySeconds = 4;
/// A load that differs from the average by more standard deviations than this has changed.
constexpr double kChangeDeviations = 3;
/// A service time that differs from the average by a larger factor than this has changed.
constexpr double kServiceTimeChange = 1.5;

double deviation(const AveragedLoad& averaged, double seconds) {
  return std::sqrt(averaged.load.demand * averaged.load.service_seconds / seconds);
}

bool hasChanged(const AveragedLoad& averaged, const OfferedLoad& load) {
  const double expected = std::hypot(deviation(averaged, kCountedSeconds), deviation(averaged, averaged.seconds));
  const double faster = std::min(averaged.load.service_seconds, load.service_seconds);
  const double slower = std::max(averaged.load.service_seconds, load.service_seconds);
  return load.slots != averaged.load.slots || slower > faster * kServiceTimeChange ||
         std::abs(load.demand - averaged.load.demand) > kChangeDeviations * expected;
}

}  // namespace

const AveragedLoad& LoadHistory::add(const InstanceId& server, const OfferedLoad& load, TimePoint now) {
  const auto found = entries_.find(server);
  if (found == entries_.end() || hasChanged(found->second.averaged, load)) {
    Entry& entry = entries_[server];
    entry = {{load, kCountedSeconds}, now, now};
    return entry.averaged;
  }
  Entry& entry = found->second;
  const double passed = std::chrono::duration<double>(now - entry.last).count();
  const double age = std::chrono::duration<double>(now - entry.since).count();
  AveragedLoad& averaged = entry.averaged;
  averaged.seconds = kCountedSeconds + std::min(age, kMaxHistorySeconds);
  const double weight = std::min(passed / averaged.seconds, 1.0);
  averaged.load.demand += (load.demand - averaged.load.demand) * weight;
  averaged.load.service_seconds += (load.service_seconds - averaged.load.service_seconds) * weight;
  entry.last = now;
  return averaged;
}

void LoadHistory::keepOnly(const std::set<InstanceId>& servers) {
  std::erase_if(entries_, [&](const auto& entry) { return !servers.contains(entry.first); });
}

}  // namespace shedlever
