#include "source/router/deferred_acknowledgements.h"

#include <algorithm>
#include <utility>

namespace shedlever {

void DeferredAcknowledgements::defer(TimePoint now, TimePoint until, Send send) {
  waiting_.push_back({until, std::move(send)});
  sendDue(now);
}

void DeferredAcknowledgements::sendDue(TimePoint now) {
  if (waiting_.empty()) {
    return;
  }
  const bool recorded = recorded_();
  const auto is_due = [recorded, now](const Acknowledgement& entry) { return recorded || now >= entry.until; };
  const auto first_due =
      std::stable_partition(waiting_.begin(), waiting_.end(), [&](const auto& entry) { return !is_due(entry); });
  // Sending one may defer another.
  std::vector<Acknowledgement> due(std::make_move_iterator(first_due), std::make_move_iterator(waiting_.end()));
  waiting_.erase(first_due, waiting_.end());
  for (const Acknowledgement& entry : due) {
    entry.send(!recorded);
  }
}

}  // namespace shedlever
