#include "source/core/router/quarantine/unanswered_requests.h"

#include <algorithm>

namespace shedlever {

namespace {

/// A response may be read this long after it was sent, and after the loss of other connections was noticed. Well above
/// one iteration of the event loop on a busy machine (about 20 ms).
constexpr Duration kMaxResponseReadDelay = std::chrono::milliseconds(200);
/// A server stops a request soon after its connection was closed; most requests take less than this anyway.
constexpr Duration kRunTimeAfterAbandon = std::chrono::milliseconds(500);
/// More than the slots of any server, because a crash loses all running requests at once.
constexpr std::size_t kMaxLost = 256;
/// Covers about three seconds at 300 responses per second; takes 24 KB.
constexpr std::size_t kMaxServed = 1024;

}  // namespace

void UnansweredRequests::onSent(SendId id, const RequestFingerprint& request) { running_[id] = request; }

void UnansweredRequests::onAnswered(SendId id, bool ran_well, TimePoint now) {
  const auto node = running_.extract(id);
  if (node.empty()) {
    return;
  }
  std::erase_if(lost_, [now](const LostRequest& lost) { return lost.may_run_until + kMaxResponseReadDelay < now; });
  if (ran_well) {
    recordServed(node.mapped());
  }
}

void UnansweredRequests::recordServed(const RequestFingerprint& request) {
  if (!served_.insert(request).second) {
    return;
  }
  served_order_.push_back(request);
  if (served_order_.size() > kMaxServed) {
    served_.erase(served_order_.front());
    served_order_.pop_front();
  }
}

void UnansweredRequests::onConnectionLost(SendId id, TimePoint now) { moveToLost(id, now); }

void UnansweredRequests::onAbandoned(SendId id, TimePoint now) { moveToLost(id, now + kRunTimeAfterAbandon); }

void UnansweredRequests::moveToLost(SendId id, TimePoint until) {
  const auto node = running_.extract(id);
  if (node.empty()) {
    return;
  }
  lost_.push_back({node.mapped(), until});
  if (lost_.size() > kMaxLost) {
    lost_.pop_front();
  }
}

std::vector<RequestFingerprint> UnansweredRequests::takeOnCrash() {
  std::vector<RequestFingerprint> unanswered;
  const auto add = [this, &unanswered](const RequestFingerprint& request) {
    const bool known = std::find(unanswered.begin(), unanswered.end(), request) != unanswered.end();
    if (!known && !served_.contains(request)) {
      unanswered.push_back(request);
    }
  };
  for (const auto& [id, request] : running_) {
    add(request);
  }
  for (const LostRequest& lost : lost_) {
    add(lost.request);
  }
  std::sort(unanswered.begin(), unanswered.end());
  clear();
  return unanswered;
}

void UnansweredRequests::clear() {
  running_.clear();
  lost_.clear();
  served_order_.clear();
  served_.clear();
}

}  // namespace shedlever
