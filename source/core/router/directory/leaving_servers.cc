#include "source/core/router/directory/leaving_servers.h"

namespace shedlever {

namespace {

/// Bounds the memory; far more than the instances that leave within the time that one of them takes to end.
constexpr std::size_t kMaxInstances = 4096;

}  // namespace

bool LeavingServers::mark(const InstanceId& instance, TimePoint now) {
  if (!since_.try_emplace(instance, now).second) {
    return false;
  }
  order_.push_back(instance);
  if (order_.size() > kMaxInstances) {
    since_.erase(order_.front());
    order_.pop_front();
  }
  return true;
}

std::optional<TimePoint> LeavingServers::since(const InstanceId& instance) const {
  const auto found = since_.find(instance);
  return found == since_.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace shedlever
