#include "source/core/router/directory/crash_evidence.h"

namespace shedlever {

void CrashEvidence::onInstance(const InstanceId& instance) {
  instance_ = instance;
  running_ = 0;
  lost_ = 0;
}

void CrashEvidence::onSent(const InstanceId& instance) {
  if (instance == instance_) {
    ++running_;
  }
}

void CrashEvidence::onEnded(const InstanceId& instance, SentRequestEnd end) {
  if (instance != instance_ || running_ == 0) {
    return;
  }
  --running_;
  if (end == SentRequestEnd::ConnectionLost) {
    ++lost_;
  } else if (end == SentRequestEnd::Answered) {
    lost_ = 0;
  }
}

bool CrashEvidence::lostAllRequests(const InstanceId& instance) const {
  return !instance.empty() && instance == instance_ && running_ == 0 && lost_ > 0;
}

}  // namespace shedlever
