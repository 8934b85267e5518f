#include "source/core/router/claims/claim_epoch_guard.h"

#include <functional>

namespace shedlever {

namespace {

/// Epoch of a store that was never restored.
constexpr StoreEpoch kFirstEpoch = 1;
constexpr int kPermille = 1000;

}  // namespace

std::string claimEpochName(StoreEpoch epoch) { return "epoch-" + std::to_string(epoch); }

ClaimEpochGuard::ClaimEpochGuard(const NodeName& self, MetadataStore& store, const Clock& clock,
                                 const ProcessEndTracker& process_ends)
    : store_(store),
      clock_(clock),
      process_ends_(process_ends),
      mark_delay_permille_(static_cast<int>(std::hash<NodeName>()(self) % kPermille)) {}

void ClaimEpochGuard::onStoreRestored() {
  observeEpoch(clock_.now());
  observed_restore_ = true;
}

void ClaimEpochGuard::observeEpoch(TimePoint now) {
  if (observed_epoch_ == store_.epoch()) {
    return;
  }
  observed_epoch_ = store_.epoch();
  began_at_ = now;
  next_call_at_ = now;
}

bool ClaimEpochGuard::isFirstEpoch() const { return store_.epoch() <= kFirstEpoch; }

TimePoint ClaimEpochGuard::undecidedUntil() const {
  return awaitsMark() ? TimePoint{} : began_at_ + config_.grant_delay_after_restore;
}

bool ClaimEpochGuard::mayHaveLostClaims(TimePoint now) const {
  if (isFirstEpoch() || isMarked()) {
    return false;
  }
  if (observed_epoch_ != store_.epoch()) {
    return true;
  }
  const bool process_ended = !observed_restore_ || process_ends_.mayHaveEndedSince(began_at_ - config_.max_backup_age);
  return now < lostUntil() && process_ended;
}

UnclaimedKey ClaimEpochGuard::unclaimedKey(TimePoint now) const {
  if (isFirstEpoch() || isMarked()) {
    return UnclaimedKey::Free;
  }
  if (observed_epoch_ != store_.epoch() || now < undecidedUntil()) {
    return UnclaimedKey::Undecided;
  }
  if (!mayHaveLostClaims(now)) {
    return UnclaimedKey::Free;
  }
  return awaitsMark() ? UnclaimedKey::Undecided : UnclaimedKey::MayBeLost;
}

void ClaimEpochGuard::tick(TimePoint now) {
  observeEpoch(now);
  if (!enabled_ || isFirstEpoch() || isMarked() || in_flight_ || now < next_call_at_) {
    return;
  }
  const TimePoint write_at = lostUntil() + config_.epoch_mark_spread * mark_delay_permille_ / kPermille;
  if (now >= write_at) {
    writeMark(now);
  } else if (!observed_restore_ && now < lostUntil()) {
    readMark(now);
  }
}

void ClaimEpochGuard::readMark(TimePoint now) {
  in_flight_ = true;
  const StoreEpoch epoch = store_.epoch();
  next_call_at_ = now + config_.retry_interval;
  store_.get(kClaimEpochKind, claimEpochName(epoch), [this, epoch](const StoreAnswer& answer) {
    in_flight_ = false;
    if (answer.status == StoreStatus::Done) {
      marked_epoch_ = epoch;
    } else if (answer.status == StoreStatus::Absent) {
      unmarked_epoch_ = epoch;
      next_call_at_ = clock_.now() + config_.epoch_check_interval;
    }
  });
}

void ClaimEpochGuard::writeMark(TimePoint now) {
  in_flight_ = true;
  const StoreEpoch epoch = store_.epoch();
  next_call_at_ = now + config_.epoch_check_interval;
  store_.create(kClaimEpochKind, {claimEpochName(epoch), {}, "{}"}, [this, epoch](const StoreAnswer& answer) {
    in_flight_ = false;
    if (answer.status == StoreStatus::Done || answer.status == StoreStatus::Conflict) {
      marked_epoch_ = epoch;
    }
  });
}

}  // namespace shedlever
