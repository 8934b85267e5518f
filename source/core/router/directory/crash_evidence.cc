#include "source/core/router/directory/crash_evidence.h"

namespace shedlever {

namespace {

/// A crash breaks all connections and refuses new ones at the same moment. An earlier loss has another cause.
constexpr Duration kMaxLossAge = std::chrono::milliseconds(500);

}  // namespace

void CrashEvidence::onInstance(const InstanceId& instance) {
  instance_ = instance;
  running_ = 0;
  lost_ = 0;
  abandoned_ = 0;
}

void CrashEvidence::onSent(const InstanceId& instance) {
  if (instance == instance_) {
    ++running_;
  }
}

void CrashEvidence::onEnded(const InstanceId& instance, SentRequestEnd end, TimePoint now) {
  if (instance != instance_ || running_ == 0) {
    return;
  }
  --running_;
  if (end == SentRequestEnd::ConnectionLost) {
    ++lost_;
    last_loss_ = now;
  } else if (end == SentRequestEnd::Abandoned) {
    ++abandoned_;
  } else if (end == SentRequestEnd::Answered) {
    lost_ = 0;
    abandoned_ = 0;
  }
}

bool CrashEvidence::lostAllRequests(const InstanceId& instance, TimePoint now) const {
  const bool all_lost = running_ == 0 && abandoned_ == 0 && lost_ > 0;
  return !instance.empty() && instance == instance_ && all_lost && now - last_loss_ <= kMaxLossAge;
}

}  // namespace shedlever
