#include "source/core/router/quarantine/unanswered_requests.h"

#include <algorithm>

namespace shedlever {

namespace {

/// An answer may be read so long after it was sent, and behind the news of other connections that broke since. Well
/// above one turn of the event loop on a busy machine (some 20 ms).
constexpr Duration kAnswerReadLater = std::chrono::milliseconds(200);
/// A server drops a request soon after its connection was closed; most runs take less than this anyway.
constexpr Duration kWorksOnFor = std::chrono::milliseconds(500);
/// More than the slots of any server: one loses all of them at once.
constexpr std::size_t kMostLost = 256;
/// At 300 answers a second the last three seconds; 24 KB.
constexpr std::size_t kMostServed = 1024;

}  // namespace

void UnansweredRequests::begun(Number number, const RequestFingerprint& request) { running_[number] = request; }

void UnansweredRequests::answered(Number number, bool ran_well, TimePoint now) {
  const auto node = running_.extract(number);
  if (node.empty()) {
    return;
  }
  std::erase_if(lost_, [now](const Lost& lost) { return lost.until + kAnswerReadLater < now; });
  if (ran_well) {
    noteServed(node.mapped());
  }
}

void UnansweredRequests::noteServed(const RequestFingerprint& request) {
  if (!served_.insert(request).second) {
    return;
  }
  served_order_.push_back(request);
  if (served_order_.size() > kMostServed) {
    served_.erase(served_order_.front());
    served_order_.pop_front();
  }
}

void UnansweredRequests::broken(Number number, TimePoint now) { lose(number, now); }

void UnansweredRequests::abandoned(Number number, TimePoint now) { lose(number, now + kWorksOnFor); }

void UnansweredRequests::lose(Number number, TimePoint until) {
  const auto node = running_.extract(number);
  if (node.empty()) {
    return;
  }
  lost_.push_back({node.mapped(), until});
  if (lost_.size() > kMostLost) {
    lost_.pop_front();
  }
}

std::vector<RequestFingerprint> UnansweredRequests::takeAtEnd() {
  std::vector<RequestFingerprint> unanswered;
  const auto add = [this, &unanswered](const RequestFingerprint& request) {
    const bool known = std::find(unanswered.begin(), unanswered.end(), request) != unanswered.end();
    if (!known && !served_.contains(request)) {
      unanswered.push_back(request);
    }
  };
  for (const auto& [number, request] : running_) {
    add(request);
  }
  for (const Lost& lost : lost_) {
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
