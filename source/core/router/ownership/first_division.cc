#include "source/core/router/ownership/first_division.h"

#include <algorithm>

namespace shedlever {

namespace {

/// Between two questions to a store that does not answer.
constexpr Duration kConfirmationInterval = std::chrono::milliseconds(500);

}  // namespace

DivisionStep FirstDivision::next(const KnownServers& servers, TimePoint server_since, TimePoint now) {
  if (servers.available != known_) {
    known_ = servers.available;
    changed_at_ = now;
  }
  const Duration rank_wait = config_.rank_delay * static_cast<int>(servers.rank);
  const TimePoint settled_at = std::max(changed_at_, server_since) + config_.first_division_delay;
  const TimePoint due = std::min(settled_at, server_since + config_.first_division_limit) + rank_wait;
  if (known_.empty() || now < due) {
    return DivisionStep::Wait;
  }
  if (servers.confirmed_at >= due) {
    return DivisionStep::Divide;
  }
  if (now < next_confirmation_) {
    return DivisionStep::Wait;
  }
  next_confirmation_ = now + kConfirmationInterval;
  return DivisionStep::ConfirmServers;
}

}  // namespace shedlever
