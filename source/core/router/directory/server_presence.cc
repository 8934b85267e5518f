#include "source/core/router/directory/server_presence.h"

namespace shedlever {

PresenceChange ServerPresence::onReport(const ServerReport& report) {
  if (!filter_.accept(report)) {
    return PresenceChange::None;
  }
  slots_ = report.slots;
  if (report.instance == instance_) {
    return PresenceChange::Updated;
  }
  if (!instance_.empty()) {
    filter_.markEnded(instance_);
  }
  instance_ = report.instance;
  draining_ = false;
  silent_ = false;
  return PresenceChange::NewInstance;
}

bool ServerPresence::contradicts(const ServerReport& report) const {
  return !instance_.empty() && serverIdOf(report.instance) != serverIdOf(instance_) && filter_.isAcceptable(report);
}

bool ServerPresence::onLeaving(const ServerReport& report) {
  const bool without_start = !report.start && serverIdOf(report.instance) == serverIdOf(instance_);
  if (!instance_.empty() && (report.instance == instance_ || without_start)) {
    return true;
  }
  filter_.markEnded(report.instance);
  return false;
}

bool ServerPresence::startDraining() {
  const bool was_serving = !draining_;
  draining_ = true;
  return was_serving;
}

void ServerPresence::onGone() {
  filter_.markEnded(instance_);
  instance_ = {};
  slots_ = 0;
}

}  // namespace shedlever
