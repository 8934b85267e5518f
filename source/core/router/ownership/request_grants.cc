#include "source/core/router/ownership/request_grants.h"

#include <algorithm>
#include <utility>

namespace shedlever {

namespace {

/// A grant is renewed after this fraction (1/n) of its duration.
constexpr int kRenewalDivisor = 3;
/// A command without an answer is sent again after this time, so that one that is lost does not end the hold.
constexpr Duration kResendInterval = std::chrono::milliseconds(100);

bool sameGrant(const OwnedRange& left, const OwnedRange& right) {
  return left.keys == right.keys && left.token == right.token && left.owner == right.owner;
}

}  // namespace

RequestGrants::RequestGrants(const OwnershipConfig& config, ServerCommands& server_commands, const Clock& clock,
                             Events events)
    : config_(config),
      server_commands_(server_commands),
      clock_(clock),
      events_(std::move(events)),
      earlier_hold_end_(
          holdEnd(clock_.now() + kGrantTimeout, std::max(config_.longest_earlier_hold, config_.grant_hold))) {}

void RequestGrants::update(const std::vector<OwnedRange>& wanted, TimePoint lease_until, TimePoint now) {
  const auto is_wanted = [&](const OwnedRange& range) {
    return std::any_of(wanted.begin(), wanted.end(), [&](const OwnedRange& other) { return sameGrant(range, other); });
  };
  std::erase_if(grants_, [&](const auto& entry) { return !is_wanted(entry.second.range); });
  const Duration hold = holdWithin(lease_until, now);
  if (hold < config_.min_grant) {
    return;
  }
  for (const OwnedRange& range : wanted) {
    Grant& grant = grants_[range.keys.first];
    grant.range = range;
    if (now >= grant.next_send_at) {
      send(grant, hold, lease_until, now);
    }
  }
}

Duration RequestGrants::holdWithin(TimePoint lease_until, TimePoint now) const {
  // The server counts from the arrival of the command, at the latest when its time for an answer ends.
  const Duration left_at_arrival = lease_until - now - kGrantTimeout;
  const auto hold = std::chrono::duration_cast<Duration>(left_at_arrival / config_.clock_drift_factor);
  return std::chrono::floor<std::chrono::milliseconds>(std::min(config_.grant_hold, hold));
}

void RequestGrants::send(Grant& grant, Duration hold, TimePoint lease_until, TimePoint now) {
  grant.last_send = ++last_send_;
  grant.first_send = grant.first_send == 0 ? grant.last_send : grant.first_send;
  grant.next_send_at = now + kResendInterval;
  pending_[grant.last_send] = {now, hold};
  const OwnedRange& range = grant.range;
  const GrantBasis basis{now, lease_until, grant.held_until > now, hold < config_.grant_hold};
  const GrantCommand command{range.keys.first, range.keys.last, range.token, hold, range.handover, range.owner, basis};
  server_commands_.grant(command, [this, first = range.keys.first, number = grant.last_send, now,
                                   hold](CommandStatus status) { onAnswer(first, number, status, now, hold); });
}

void RequestGrants::onAnswer(Key first, std::uint64_t send_number, CommandStatus status, TimePoint sent,
                             Duration hold) {
  const bool for_present_server = recordHoldEnd(send_number, status);
  const bool not_reached = status == CommandStatus::ServerGone || status == CommandStatus::WrongInstance;
  if (not_reached && for_present_server) {
    events_.server_gone();
  }
  const auto found = grants_.find(first);
  if (found == grants_.end() || send_number < found->second.first_send) {
    return;
  }
  Grant& grant = found->second;
  const bool newest = send_number == grant.last_send;
  if (status != CommandStatus::Done) {
    if (newest) {
      grant.next_send_at = clock_.now() + config_.command_retry;
    }
    if (status == CommandStatus::Superseded) {
      events_.superseded(grant.range);
    }
    return;
  }
  const bool was_held = grant.held_until > clock_.now();
  grant.held_until = std::max(grant.held_until, sent + hold);
  grant.next_send_at = std::max(grant.next_send_at, sent + hold / kRenewalDivisor);
  if (!was_held) {
    events_.newly_held();
  }
}

TimePoint RequestGrants::holdEnd(TimePoint taken, Duration hold) const {
  return taken + std::chrono::duration_cast<Duration>(hold * config_.clock_drift_factor);
}

bool RequestGrants::recordHoldEnd(std::uint64_t send_number, CommandStatus status) {
  const auto node = pending_.extract(send_number);
  const bool earlier = node.mapped().earlier;
  const bool refused = status == CommandStatus::ServerGone || status == CommandStatus::Superseded ||
                       status == CommandStatus::WrongInstance;
  if (refused) {
    return !earlier;
  }
  // The hold counts from the arrival of the command, which is not later than its end here.
  TimePoint& latest = earlier ? earlier_hold_end_ : latest_hold_end_;
  latest = std::max(latest, holdEnd(clock_.now(), node.mapped().hold));
  return !earlier;
}

TimePoint RequestGrants::earlierHoldsUntil() const {
  TimePoint until = earlier_hold_end_;
  for (const auto& [number, command] : pending_) {
    if (command.earlier) {
      until = std::max(until, holdEnd(command.sent + kGrantTimeout, command.hold));
    }
  }
  return until;
}

void RequestGrants::clear() {
  grants_.clear();
  earlier_hold_end_ = std::max(earlier_hold_end_, latest_hold_end_);
  for (auto& [number, command] : pending_) {
    command.earlier = true;
  }
}

bool RequestGrants::isHeld(Key key, TimePoint now) const {
  const auto after = grants_.upper_bound(key);
  if (after == grants_.begin()) {
    return false;
  }
  const Grant& grant = std::prev(after)->second;
  return grant.range.keys.contains(key) && now < grant.held_until;
}

void RequestGrants::release(const OwnedRange& range, ReleaseCallback done) {
  grants_.erase(range.keys.first);
  server_commands_.release({range.keys.first, range.keys.last, range.token + 1, range.owner}, std::move(done));
}

}  // namespace shedlever
