#include "source/core/router/admission/running_requests.h"

#include <algorithm>

namespace shedlever {

namespace {

/// The excess is divided by at least this number of requests, so that one long request among few is no slowdown.
constexpr std::size_t kMinSample = 16;
/// Maximum excess of one request as a multiple of its usual time, so that one that never ends does not make the queue
/// refuse all others.
constexpr double kMaxExcess = 4.0;

}  // namespace

void RunningRequests::onStart(QueueTicket ticket, const QueueClass& queue_class, TimePoint now) {
  running_.emplace(ticket, Running{queue_class, now});
}

std::optional<QueueClass> RunningRequests::onEnd(QueueTicket ticket) {
  const auto ended = running_.extract(ticket);
  return ended.empty() ? std::nullopt : std::optional(ended.mapped().queue_class);
}

double RunningRequests::slowdown(const QueueClassLoads& loads, TimePoint now) const {
  double excess = 0;
  for (const auto& [ticket, running] : running_) {
    const Duration usual = std::max(loads.serviceTime(running.queue_class).mean, Duration(1));
    const double ages = static_cast<double>((now - running.started).count()) / static_cast<double>(usual.count());
    excess += std::clamp(ages - 1.0, 0.0, kMaxExcess);
  }
  return 1.0 + excess / static_cast<double>(std::max(running_.size(), kMinSample));
}

}  // namespace shedlever
