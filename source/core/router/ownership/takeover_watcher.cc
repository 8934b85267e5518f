#include "source/core/router/ownership/takeover_watcher.h"

#include <algorithm>
#include <utility>

namespace shedlever {

TakeoverWatcher::TakeoverWatcher(const OwnershipConfig& config, MetadataStore& store, const Clock& clock,
                                 NewestToken newest_token, OnRevoked on_revoked)
    : config_(config),
      store_(store),
      clock_(clock),
      newest_token_(std::move(newest_token)),
      on_revoked_(std::move(on_revoked)) {}

void TakeoverWatcher::tick(const std::set<NodeName>& suspects, Duration delay, TimePoint now) {
  std::erase_if(challenges_, [&](const auto& entry) { return !suspects.contains(entry.first); });
  for (const NodeName& node : suspects) {
    Challenge& challenge = challenges_[node];
    if (challenge.suspected_since == TimePoint{}) {
      challenge.suspected_since = now;
    }
    if (!challenge.in_flight) {
      advance(node, challenge, delay, now);
    }
  }
}

void TakeoverWatcher::onPeerLease(const NodeName& node, const PeerLease& lease) {
  if (lease.revision.none()) {
    return;
  }
  PeerLease& reported = peer_leases_[node];
  if (lease.revision > reported.revision) {
    reported = lease;
  } else if (lease.revision == reported.revision) {
    reported.expired_by = std::min(reported.expired_by, lease.expired_by);
  }
}

TimePoint TakeoverWatcher::leaseExpiry(const NodeName& node, const Challenge& challenge) const {
  const TimePoint by_own_clock = challenge.read_at + config_.lease;
  const auto reported = peer_leases_.find(node);
  const bool unchanged =
      !challenge.absent && reported != peer_leases_.end() && reported->second.revision == challenge.revision;
  return unchanged ? std::min(by_own_clock, reported->second.expired_by) : by_own_clock;
}

void TakeoverWatcher::advance(const NodeName& node, Challenge& challenge, Duration delay, TimePoint now) {
  if (now - challenge.suspected_since < config_.suspicion) {
    return;
  }
  // A lease read in an earlier epoch of the store proves nothing and cannot be revoked.
  if (!challenge.read || challenge.epoch < store_.epoch()) {
    challenge.in_flight = true;
    readLease(node);
    return;
  }
  if (now >= leaseExpiry(node, challenge) + config_.lease_margin + delay) {
    challenge.in_flight = true;
    revoke(node, challenge);
  }
}

void TakeoverWatcher::readLease(const NodeName& node) {
  store_.get(kLeaseKind, node.value, [this, node](const StoreAnswer& answer) {
    const auto found = challenges_.find(node);
    if (found == challenges_.end()) {
      return;
    }
    Challenge& challenge = found->second;
    challenge.in_flight = false;
    if (answer.status == StoreStatus::Done) {
      adopt(challenge, answer.object);
    } else if (answer.status == StoreStatus::Absent) {
      challenge.read = true;
      challenge.absent = true;
      challenge.epoch = store_.epoch();
      challenge.read_at = clock_.now();
    }
  });
}

void TakeoverWatcher::adopt(Challenge& challenge, const MetadataObject& object) {
  challenge.read = true;
  challenge.absent = false;
  challenge.revision = object.revision;
  challenge.epoch = store_.epoch();
  challenge.lease = LeaseRecord::decode(object.value);
  challenge.read_at = clock_.now();
}

void TakeoverWatcher::revoke(const NodeName& node, const Challenge& challenge) {
  LeaseRecord revoked = challenge.lease;
  revoked.revoked = true;
  // Taken before the call, because the answer may arrive after the node has confirmed its ranges.
  const auto done = [this, node, newest_token = newest_token_()](const StoreAnswer& answer) {
    const auto found = challenges_.find(node);
    if (found == challenges_.end()) {
      return;
    }
    found->second.in_flight = false;
    if (answer.status == StoreStatus::Done) {
      challenges_.erase(found);
      on_revoked_(node, newest_token);
    } else if (answer.status == StoreStatus::Conflict) {
      // The lease was renewed, or revoked by another node; in both cases its duration counts from now.
      adopt(found->second, answer.object);
    } else if (answer.status == StoreStatus::Unknown) {
      found->second.read = false;
    }
  };
  const MetadataObject object{node.value, challenge.revision, revoked.encode()};
  if (challenge.absent) {
    store_.create(kLeaseKind, object, done);
  } else {
    store_.replace(kLeaseKind, object, done);
  }
}

}  // namespace shedlever
