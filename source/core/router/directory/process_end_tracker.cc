#include "source/core/router/directory/process_end_tracker.h"

#include <algorithm>

namespace shedlever {

void ProcessEndTracker::onRecord(const NodeIdentity& process, TimePoint now) {
  const auto [known, is_new] = incarnations_.try_emplace(process.name, process.incarnation);
  if (!is_new && known->second < process.incarnation) {
    known->second = process.incarnation;
    last_end_ = now;
  }
}

void ProcessEndTracker::onReached(const NodeIdentity& process, TimePoint now) {
  onRecord(process, now);
  lost_.erase(process.name);
}

void ProcessEndTracker::onLost(const NodeName& node, TimePoint now) {
  // Later failures to reach the node do not show that its process ended later.
  lost_.try_emplace(node, now);
}

bool ProcessEndTracker::mayHaveEndedSince(TimePoint since) const {
  return last_end_ >= since ||
         std::any_of(lost_.begin(), lost_.end(), [since](const auto& entry) { return entry.second >= since; });
}

}  // namespace shedlever
