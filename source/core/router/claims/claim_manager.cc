#include "source/core/router/claims/claim_manager.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "source/core/http_syntax.h"
#include "source/core/sha256.h"

namespace shedlever {

using nlohmann::json;

namespace {

constexpr std::array<const char*, 4> kStateNames = {"open", "not-run", "answered", "unknown"};

std::string hexOf(const Sha256Digest& digest) {
  constexpr const char* kDigits = "0123456789abcdef";
  constexpr unsigned kNibbleBits = 4;
  constexpr unsigned kLowNibbleMask = 0xf;
  std::string text;
  for (const unsigned char byte : digest) {
    text.push_back(kDigits[byte >> kNibbleBits]);
    text.push_back(kDigits[byte & kLowNibbleMask]);
  }
  return text;
}

/// Bodies are stored as base64 because JSON strings cannot hold arbitrary bytes.
std::string toBase64(const std::string& bytes) {
  constexpr std::size_t kBytesPerGroup = 3;
  constexpr std::size_t kCharactersPerGroup = 4;
  std::string text((bytes.size() + kBytesPerGroup - 1) / kBytesPerGroup * kCharactersPerGroup + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::optional<std::string> fromBase64(const std::string& text) {
  std::string bytes(text.size(), '\0');
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
  if (length < 0) {
    return std::nullopt;
  }
  // The result of EVP_DecodeBlock includes the padding.
  const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0);
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

json encodeResponse(const HttpResponse& response) {
  json headers = json::array();
  for (const HttpHeader& header : response.headers) {
    headers.push_back({header.name, header.value});
  }
  return {{"status", response.status}, {"headers", std::move(headers)}, {"body", toBase64(response.body)}};
}

HttpResponse decodeResponse(const json& document) {
  HttpResponse response;
  response.status = document.at("status").get<int>();
  for (const json& header : document.at("headers")) {
    response.headers.push_back({header.at(0).get<std::string>(), header.at(1).get<std::string>()});
  }
  const auto body = fromBase64(document.at("body").get<std::string>());
  if (!body) {
    throw std::invalid_argument("body is not valid base64");
  }
  response.body = *body;
  if (!isValidHttpResponse(response)) {
    throw std::invalid_argument("status or header is not valid");
  }
  return response;
}

ClaimState stateFrom(const std::string& name) {
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (name == kStateNames[i]) {
      return static_cast<ClaimState>(i);
    }
  }
  return ClaimState::Unknown;
}

ClaimState stateOf(ClaimOutcome outcome) {
  switch (outcome) {
    case ClaimOutcome::NotRun:
      return ClaimState::NotRun;
    case ClaimOutcome::Answered:
      return ClaimState::Answered;
    case ClaimOutcome::Unknown:
      break;
  }
  return ClaimState::Unknown;
}

bool sameRequest(const ClaimRecord& left, const ClaimRecord& right) {
  return left.request == right.request && left.holder == right.holder;
}

}  // namespace

std::string claimObjectName(const ClaimKey& key) {
  // Service and tenant names cannot contain a line feed, so different keys give different texts.
  return hexOf(sha256(key.service.value + "\n" + key.tenant.value + "\n" + key.key.value));
}

std::string ClaimRecord::encode() const {
  json document = {{"request", request.value},
                   {"node", holder.name.value},
                   {"incarnation", holder.incarnation.value},
                   {"state", kStateNames.at(static_cast<std::size_t>(state))}};
  if (response) {
    document["answer"] = encodeResponse(*response);
  }
  // The request id comes from a client and may hold bytes that are not UTF-8.
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

ClaimRecord ClaimRecord::decode(const std::string& text) {
  ClaimRecord record;
  record.state = ClaimState::Unknown;
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) {
    return record;
  }
  try {
    record.request = RequestId(document.at("request").get<std::string>());
    record.holder.name = NodeName(document.at("node").get<std::string>());
    record.holder.incarnation.value = document.at("incarnation").get<std::uint64_t>();
    if (document.contains("answer")) {
      record.response = decodeResponse(document.at("answer"));
    }
    record.state = stateFrom(document.at("state").get<std::string>());
  } catch (const std::exception&) {
    record.state = ClaimState::Unknown;
  }
  return record;
}

ClaimManager::ClaimManager(NodeIdentity self, MetadataStore& store, const Clock& clock,
                           const ProcessEndTracker& process_ends, std::function<bool(const NodeIdentity&)> is_alive)
    : self_(std::move(self)),
      store_(store),
      clock_(clock),
      is_alive_(std::move(is_alive)),
      epoch_guard_(self_.name, store_, clock_, process_ends) {}

void ClaimManager::setConfig(const ClaimConfig& config) {
  config_ = config;
  epoch_guard_.setConfig(config);
}

ClaimHandle ClaimManager::acquire(const ClaimKey& key, const RequestId& request, TimePoint deadline,
                                  DecisionCallback on_decided) {
  enable();
  const ClaimHandle handle = ++last_handle_;
  Claim& claim = claims_[handle];
  claim.name = claimObjectName(key);
  claim.record.request = request;
  claim.record.holder = self_;
  claim.deadline = deadline;
  claim.on_decided = std::move(on_decided);
  send(handle, claim);
  return handle;
}

void ClaimManager::send(ClaimHandle handle, Claim& claim) {
  claim.in_flight = true;
  const MetadataObject object{claim.name, claim.revision, claim.record.encode()};
  const auto done = [this, handle](const StoreAnswer& answer) { onAnswer(handle, answer); };
  if (claim.revision.none()) {
    store_.create(kClaimObjectKind, object, done);
  } else {
    store_.replace(kClaimObjectKind, object, done);
  }
}

void ClaimManager::onAnswer(ClaimHandle handle, const StoreAnswer& answer) {
  const auto found = claims_.find(handle);
  if (found == claims_.end()) {
    return;
  }
  Claim& claim = found->second;
  claim.in_flight = false;
  switch (answer.status) {
    case StoreStatus::Done:
      onWritten(found, answer.object);
      return;
    case StoreStatus::Conflict:
      onConflict(found, answer.object);
      return;
    case StoreStatus::Absent:
      claim.revision = {};
      claim.next_send_at = clock_.now();
      return;
    case StoreStatus::Refused:
    case StoreStatus::Unknown:
      claim.next_send_at = clock_.now() + config_.retry_interval;
      return;
  }
}

/// The store holds a record of this claim, which may have been written before the request ended.
void ClaimManager::onWritten(Claims::iterator found, const MetadataObject& object) {
  Claim& claim = found->second;
  claim.revision = object.revision;
  claim.rewrite = false;
  const ClaimState written = ClaimRecord::decode(object.value).state;
  if (claim.ended) {
    if (written == claim.record.state) {
      scheduleRemoval(claim.name, object.revision);
      retain(claim);
      claims_.erase(found);
    } else {
      claim.next_send_at = clock_.now();
    }
    return;
  }
  if (!claim.granted) {
    decideUnclaimed(found);
  }
}

void ClaimManager::decideUnclaimed(Claims::iterator found) {
  Claim& claim = found->second;
  const TimePoint now = clock_.now();
  switch (epoch_guard_.unclaimedKey(now)) {
    case UnclaimedKey::Free:
      claim.granted = true;
      decide(found, {ClaimVerdict::Granted, {}});
      return;
    case UnclaimedKey::Undecided:
      // If an earlier holder of the key rewrites its claim until then, the next write of this claim conflicts.
      claim.next_send_at = std::max(epoch_guard_.undecidedUntil(), now + config_.retry_interval);
      return;
    case UnclaimedKey::MayBeLost:
      refuse(found);
      return;
  }
}

void ClaimManager::refuse(Claims::iterator found) {
  const ClaimState state = stateIfNotGranted();
  markEnded(found->second, state);
  decide(found, {state == ClaimState::Unknown ? ClaimVerdict::OutcomeUnknown : ClaimVerdict::Unavailable, {}});
}

ClaimState ClaimManager::stateIfNotGranted() const {
  return epoch_guard_.mayHaveLostClaims(clock_.now()) ? ClaimState::Unknown : ClaimState::NotRun;
}

/// The store holds another record, or one that an earlier write of this claim made without a response.
void ClaimManager::onConflict(Claims::iterator found, const MetadataObject& object) {
  Claim& claim = found->second;
  const ClaimRecord existing = ClaimRecord::decode(object.value);
  if (sameRequest(existing, claim.record)) {
    onWritten(found, object);
    return;
  }
  const bool has_run = existing.state == ClaimState::Answered || existing.state == ClaimState::Unknown;
  const bool frees_key = claim.record.state == ClaimState::NotRun;
  if (claim.rewrite && !has_run && !frees_key) {
    claim.revision = object.revision;
    claim.next_send_at = clock_.now();
    return;
  }
  claim.rewrite = false;
  if (claim.granted && !claim.ended) {
    return;
  }
  // A claim that was never granted is recorded as Unknown only if an earlier one of its key may be lost, perhaps one
  // that was made after the key had become free.
  const bool assumed_lost = claim.ended && !claim.granted && claim.record.state == ClaimState::Unknown;
  if (assumed_lost && existing.state == ClaimState::NotRun) {
    claim.revision = object.revision;
    claim.next_send_at = clock_.now();
    return;
  }
  if (claim.ended) {
    // Another request has overwritten this claim, or the claim was never created: no later write of it can succeed.
    claims_.erase(found);
    return;
  }
  if (existing.state == ClaimState::NotRun) {
    claim.revision = object.revision;
    claim.next_send_at = clock_.now();
    return;
  }
  ClaimResult result = verdictFor(existing);
  const DecisionCallback on_decided = std::move(claim.on_decided);
  claims_.erase(found);
  on_decided(result);
}

ClaimResult ClaimManager::verdictFor(const ClaimRecord& existing) const {
  switch (existing.state) {
    case ClaimState::Answered:
      return existing.response ? ClaimResult{ClaimVerdict::Recorded, *existing.response}
                               : ClaimResult{ClaimVerdict::OutcomeUnknown, {}};
    case ClaimState::Open:
      return {is_alive_(existing.holder) ? ClaimVerdict::InProgress : ClaimVerdict::OutcomeUnknown, {}};
    case ClaimState::NotRun:
    case ClaimState::Unknown:
      break;
  }
  return {ClaimVerdict::OutcomeUnknown, {}};
}

void ClaimManager::decide(Claims::iterator found, const ClaimResult& result) {
  const DecisionCallback on_decided = std::exchange(found->second.on_decided, {});
  if (on_decided) {
    on_decided(result);
  }
}

void ClaimManager::markEnded(Claim& claim, ClaimState state) {
  claim.ended = true;
  claim.record.state = state;
  claim.next_send_at = clock_.now();
}

void ClaimManager::finish(ClaimHandle handle, ClaimOutcome outcome, const HttpResponse& response) {
  const auto found = claims_.find(handle);
  if (found == claims_.end() || found->second.ended) {
    return;
  }
  Claim& claim = found->second;
  claim.on_decided = {};
  if (outcome == ClaimOutcome::Answered && response.body.size() <= config_.max_response_bytes) {
    claim.record.response = response;
  }
  markEnded(claim, claim.granted ? stateOf(outcome) : stateIfNotGranted());
}

bool ClaimManager::hasUnwrittenEnds() const {
  return std::any_of(claims_.begin(), claims_.end(), [](const auto& entry) { return entry.second.ended; });
}

void ClaimManager::onStoreRestored() {
  const TimePoint now = clock_.now();
  epoch_guard_.onStoreRestored();
  for (auto& [handle, claim] : claims_) {
    if (claim.granted) {
      claim.revision = {};
      claim.rewrite = true;
      claim.next_send_at = now;
    }
  }
  for (RetainedClaim& retained : retained_claims_) {
    Claim& claim = claims_[++last_handle_];
    claim.name = std::move(retained.name);
    claim.record = std::move(retained.record);
    claim.granted = true;
    claim.ended = true;
    claim.rewrite = true;
    claim.next_send_at = now;
  }
  retained_claims_.clear();
  retained_response_bytes_ = 0;
}

bool ClaimManager::willMissDeadline(const Claim& claim, TimePoint now) const {
  const TimePoint undecided_until = epoch_guard_.undecidedUntil();
  const bool undecided = epoch_guard_.unclaimedKey(now) == UnclaimedKey::Undecided;
  const bool held_past_deadline = undecided && now < undecided_until && claim.deadline <= undecided_until;
  return !claim.granted && !claim.ended && (now >= claim.deadline || held_past_deadline);
}

void ClaimManager::retain(const Claim& claim) {
  if (claim.record.state == ClaimState::NotRun) {
    return;
  }
  RetainedClaim retained{clock_.now() + config_.max_backup_age, claim.name, claim.record};
  const std::size_t bytes = claim.record.response ? claim.record.response->body.size() : 0;
  if (retained_response_bytes_ + bytes > config_.max_retained_response_bytes) {
    // The fact that the request has run is kept; only the response is dropped.
    retained.record.response.reset();
  } else {
    retained_response_bytes_ += bytes;
  }
  retained_claims_.push_back(std::move(retained));
}

void ClaimManager::tick(TimePoint now) {
  epoch_guard_.tick(now);
  std::vector<ClaimHandle> overdue;
  for (auto& [handle, claim] : claims_) {
    const bool to_write = claim.ended || !claim.granted || claim.rewrite;
    if (willMissDeadline(claim, now)) {
      overdue.push_back(handle);
    } else if (!claim.in_flight && to_write && now >= claim.next_send_at) {
      send(handle, claim);
    }
  }
  for (const ClaimHandle handle : overdue) {
    refuse(claims_.find(handle));
  }
  removeExpired(now);
}

void ClaimManager::scheduleRemoval(const std::string& name, StoreRevision revision) {
  if (scheduled_removals_.size() >= config_.max_scheduled_removals) {
    scheduled_removals_.pop_front();
  }
  scheduled_removals_.push_back({clock_.now() + config_.retention, name, revision});
}

void ClaimManager::removeExpired(TimePoint now) {
  while (!retained_claims_.empty() && retained_claims_.front().retain_until <= now) {
    retained_response_bytes_ -=
        retained_claims_.front().record.response ? retained_claims_.front().record.response->body.size() : 0;
    retained_claims_.pop_front();
  }
  while (!scheduled_removals_.empty() && scheduled_removals_.front().remove_at <= now) {
    store_.remove(kClaimObjectKind, scheduled_removals_.front().name, scheduled_removals_.front().revision,
                  [](const StoreAnswer&) {});
    scheduled_removals_.pop_front();
  }
}

}  // namespace shedlever
