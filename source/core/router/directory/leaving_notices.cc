#include "source/core/router/directory/leaving_notices.h"

#include <algorithm>

namespace shedlever {

namespace {

/// Every node reads the records of all, so that they stay small.
constexpr std::size_t kMaxNotices = 4;

}  // namespace

bool LeavingNotices::add(const InstanceId& instance) {
  if (contains(instance)) {
    return false;
  }
  instances_.push_back(instance);
  if (instances_.size() > kMaxNotices) {
    instances_.erase(instances_.begin());
  }
  return true;
}

bool LeavingNotices::addAll(const std::vector<InstanceId>& instances) {
  bool added = false;
  for (const InstanceId& instance : instances) {
    added = add(instance) || added;
  }
  return added;
}

bool LeavingNotices::contains(const InstanceId& instance) const {
  return std::find(instances_.begin(), instances_.end(), instance) != instances_.end();
}

}  // namespace shedlever
