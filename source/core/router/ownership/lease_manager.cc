#include "source/core/router/ownership/lease_manager.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "source/core/json_fields.h"

namespace shedlever {

using nlohmann::json;

std::string LeaseRecord::encode() const {
  json document = {{"incarnation", incarnation.value}, {"count", renewal_count}};
  if (revoked) {
    document["revoked"] = true;
  }
  return document.dump();
}

LeaseRecord LeaseRecord::decode(const std::string& text) {
  // Invalid text says nothing about the holder's lease, which ends once the object has been unchanged for the whole
  // lease duration.
  LeaseRecord record;
  const auto document = parseObject(text);
  if (!document) {
    return record;
  }
  record.incarnation.value = numberField(*document, "incarnation").value_or(0);
  record.renewal_count = numberField(*document, "count").value_or(0);
  record.revoked = boolField(*document, "revoked").value_or(false);
  return record;
}

LeaseManager::LeaseManager(NodeIdentity self, const OwnershipConfig& config, MetadataStore& store, const Clock& clock,
                           std::function<void()> on_revoked)
    : self_(std::move(self)), config_(config), store_(store), clock_(clock), on_revoked_(std::move(on_revoked)) {}

void LeaseManager::inherit(TimePoint until) {
  if (renewed_revision_.none()) {
    valid_until_ = std::max(valid_until_, until);
  }
}

bool LeaseManager::mayHaveBeenRevokedBeforeRestore(TimePoint sent) const {
  const bool renewed_before = !renewed_revision_.none();
  return renewed_before && renewed_revision_.epoch < revision_.epoch && !valid(sent);
}

void LeaseManager::tick(TimePoint now) {
  if (!in_flight_ && now >= next_renewal_at_) {
    sendRenewal(now);
  }
}

void LeaseManager::sendRenewal(TimePoint now) {
  in_flight_ = true;
  const LeaseRecord record{self_.incarnation, ++count_, unconfirmed_};
  const MetadataObject object{self_.name.value, revision_, record.encode()};
  const auto done = [this, now, marked = record.revoked](const StoreAnswer& answer) { onAnswer(answer, now, marked); };
  if (revision_.none()) {
    store_.create(kLeaseKind, object, done);
  } else {
    store_.replace(kLeaseKind, object, done);
  }
}

void LeaseManager::requireConfirmation() {
  unconfirmed_ = true;
  may_be_marked_ = true;
}

void LeaseManager::onConfirmed() {
  unconfirmed_ = false;
  if (may_be_marked_) {
    next_renewal_at_ = {};
  }
}

void LeaseManager::onRevoked() {
  requireConfirmation();
  on_revoked_();
}

void LeaseManager::onRenewed(TimePoint sent, bool marked) {
  if (mayHaveBeenRevokedBeforeRestore(sent)) {
    onRevoked();
  }
  renewed_revision_ = revision_;
  valid_until_ = sent + config_.lease;
  may_be_marked_ = marked || unconfirmed_;
  const bool mark_is_outdated = marked != unconfirmed_;
  next_renewal_at_ = mark_is_outdated ? clock_.now() : sent + config_.lease_renewal;
}

void LeaseManager::onAnswer(const StoreAnswer& answer, TimePoint sent, bool marked) {
  in_flight_ = false;
  const TimePoint now = clock_.now();
  switch (answer.status) {
    case StoreStatus::Done:
      revision_ = answer.object.revision;
      onRenewed(sent, marked);
      return;
    case StoreStatus::Conflict:
      revision_ = answer.object.revision;
      next_renewal_at_ = now;
      if (LeaseRecord::decode(answer.object.value).revoked) {
        valid_until_ = {};
        onRevoked();
      }
      return;
    case StoreStatus::Absent:
      revision_ = {};
      next_renewal_at_ = now;
      return;
    case StoreStatus::Refused:
    case StoreStatus::Unknown:
      next_renewal_at_ = now + config_.lease_retry;
      return;
  }
}

}  // namespace shedlever
