#include "source/core/router/ownership/request_grants.h"

#include <algorithm>
#include <utility>

namespace shedlever {

namespace {

/// A grant is renewed after this fraction (1/n) of its duration.
constexpr int kRenewalDivisor = 3;

bool sameGrant(const OwnedRange& left, const OwnedRange& right) {
  return left.keys == right.keys && left.token == right.token && left.owner == right.owner;
}

}  // namespace

RequestGrants::RequestGrants(const OwnershipConfig& config, ServerCommands& server_commands, const Clock& clock,
                             Events events)
    : config_(config), server_commands_(server_commands), clock_(clock), events_(std::move(events)) {}

void RequestGrants::update(const std::vector<OwnedRange>& wanted, TimePoint lease_until, TimePoint now) {
  const auto is_wanted = [&](const OwnedRange& range) {
    return std::any_of(wanted.begin(), wanted.end(), [&](const OwnedRange& other) { return sameGrant(range, other); });
  };
  std::erase_if(grants_, [&](const auto& entry) { return !is_wanted(entry.second.range); });
  const auto lease_left = std::chrono::duration_cast<Duration>((lease_until - now) / config_.clock_drift_factor);
  const Duration hold = std::chrono::floor<std::chrono::milliseconds>(std::min(config_.grant_hold, lease_left));
  if (hold < config_.min_grant) {
    return;
  }
  for (const OwnedRange& range : wanted) {
    Grant& grant = grants_[range.keys.first];
    grant.range = range;
    if (!grant.in_flight && now >= grant.next_send_at) {
      send(grant, hold, now);
    }
  }
}

void RequestGrants::send(Grant& grant, Duration hold, TimePoint now) {
  grant.in_flight = true;
  grant.send_number = ++last_send_;
  const OwnedRange& range = grant.range;
  const GrantCommand command{range.keys.first, range.keys.last, range.token, hold, range.handover, range.owner};
  server_commands_.grant(command, [this, first = range.keys.first, number = grant.send_number, now,
                                   hold](CommandStatus status) { onAnswer(first, number, status, now, hold); });
}

void RequestGrants::onAnswer(Key first, std::uint64_t send_number, CommandStatus status, TimePoint sent,
                             Duration hold) {
  if (status == CommandStatus::ServerGone || status == CommandStatus::WrongInstance) {
    events_.server_gone();
  }
  const auto found = grants_.find(first);
  if (found == grants_.end() || found->second.send_number != send_number) {
    return;
  }
  Grant& grant = found->second;
  grant.in_flight = false;
  if (status != CommandStatus::Done) {
    grant.next_send_at = clock_.now() + config_.command_retry;
    if (status == CommandStatus::Superseded) {
      events_.superseded(grant.range);
    }
    return;
  }
  const bool was_held = grant.held_until > clock_.now();
  grant.held_until = sent + hold;
  grant.next_send_at = sent + hold / kRenewalDivisor;
  if (!was_held) {
    events_.newly_held();
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
