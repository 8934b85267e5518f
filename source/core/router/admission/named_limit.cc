#include "source/core/router/admission/named_limit.h"

#include <utility>

namespace shedlever {

LimitChange NamedLimit::onResponse(const ServerCondition& condition, TimePoint sent, TimePoint now) {
  if (condition.invalid_limit) {
    return LimitChange::None;
  }
  const std::optional<double> named = condition.request_limit;
  const bool lowers = named && (!per_second_ || *named < *per_second_);
  const bool confirms = named == per_second_;
  if (!lowers && !confirms && sent < confirmed_at_) {
    return LimitChange::None;
  }
  confirmed_at_ = now;
  return set(named);
}

LimitChange NamedLimit::onCommandResponse(const ServerCondition& condition, TimePoint sent, TimePoint now) {
  return condition.request_limit ? onResponse(condition, sent, now) : LimitChange::None;
}

LimitChange NamedLimit::set(std::optional<double> per_second) {
  const std::optional<double> before = std::exchange(per_second_, per_second);
  if (before == per_second) {
    return LimitChange::None;
  }
  if (!before) {
    return LimitChange::Named;
  }
  return per_second ? LimitChange::Changed : LimitChange::Ended;
}

}  // namespace shedlever
