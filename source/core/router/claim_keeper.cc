#include "source/core/router/claim_keeper.h"

#include <openssl/evp.h>

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "source/core/sha256.h"

namespace shedlever {

using nlohmann::json;

namespace {

constexpr std::array<const char*, 4> kStateWords = {"open", "not-run", "answered", "unknown"};

std::string hexOf(const Sha256Digest& digest) {
  constexpr const char* kDigits = "0123456789abcdef";
  constexpr unsigned kNibble = 4;
  constexpr unsigned kLowNibble = 0xf;
  std::string text;
  for (const unsigned char byte : digest) {
    text.push_back(kDigits[byte >> kNibble]);
    text.push_back(kDigits[byte & kLowNibble]);
  }
  return text;
}

/// JSON holds text only; a body is any bytes.
std::string toBase64(const std::string& bytes) {
  constexpr std::size_t kGroup = 3;
  constexpr std::size_t kGroupText = 4;
  std::string text((bytes.size() + kGroup - 1) / kGroup * kGroupText + 1, '\0');
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
  // The decoder counts padding as bytes.
  const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0);
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

json encodeAnswer(const HttpResponse& answer) {
  json headers = json::array();
  for (const HttpHeader& header : answer.headers) {
    headers.push_back({header.name, header.value});
  }
  return {{"status", answer.status}, {"headers", std::move(headers)}, {"body", toBase64(answer.body)}};
}

HttpResponse decodeAnswer(const json& document) {
  HttpResponse answer;
  answer.status = document.at("status").get<int>();
  for (const json& header : document.at("headers")) {
    answer.headers.push_back({header.at(0).get<std::string>(), header.at(1).get<std::string>()});
  }
  const auto body = fromBase64(document.at("body").get<std::string>());
  if (!body) {
    throw std::invalid_argument("body is no base64");
  }
  answer.body = *body;
  return answer;
}

ClaimState stateFrom(const std::string& word) {
  for (std::size_t i = 0; i < kStateWords.size(); ++i) {
    if (word == kStateWords[i]) {
      return static_cast<ClaimState>(i);
    }
  }
  return ClaimState::Unknown;
}

ClaimState stateOf(ClaimEnd end) {
  switch (end) {
    case ClaimEnd::NotRun:
      return ClaimState::NotRun;
    case ClaimEnd::Answered:
      return ClaimState::Answered;
    case ClaimEnd::Unknown:
      break;
  }
  return ClaimState::Unknown;
}

bool sameRequest(const ClaimRecord& left, const ClaimRecord& right) {
  return left.request == right.request && left.holder == right.holder;
}

}  // namespace

std::string claimName(const ClaimKey& key) {
  // Names can't hold a line's end, so no two keys give the same text.
  return hexOf(sha256(key.service.value + "\n" + key.tenant.value + "\n" + key.key.value));
}

std::string ClaimRecord::encode() const {
  json document = {{"request", request.value},
                   {"node", holder.name.value},
                   {"incarnation", holder.incarnation.value},
                   {"state", kStateWords.at(static_cast<std::size_t>(state))}};
  if (answer) {
    document["answer"] = encodeAnswer(*answer);
  }
  return document.dump();
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
      record.answer = decodeAnswer(document.at("answer"));
    }
    record.state = stateFrom(document.at("state").get<std::string>());
  } catch (const std::exception&) {
    record.state = ClaimState::Unknown;
  }
  return record;
}

ClaimKeeper::ClaimKeeper(NodeIdentity self, MetadataStore& store, const Clock& clock,
                         std::function<bool(const NodeIdentity&)> lives)
    : self_(std::move(self)), store_(store), clock_(clock), lives_(std::move(lives)) {}

ClaimNumber ClaimKeeper::begin(const ClaimKey& key, const RequestId& request, TimePoint deadline, Decided decided) {
  const ClaimNumber number = ++last_number_;
  Claim& claim = claims_[number];
  claim.name = claimName(key);
  claim.record.request = request;
  claim.record.holder = self_;
  claim.deadline = deadline;
  claim.decided = std::move(decided);
  send(number, claim);
  return number;
}

void ClaimKeeper::send(ClaimNumber number, Claim& claim) {
  claim.in_flight = true;
  const MetadataObject object{claim.name, claim.revision, claim.record.encode()};
  const auto done = [this, number](const StoreAnswer& answer) { onAnswer(number, answer); };
  if (claim.revision.none()) {
    store_.create(kClaimKind, object, done);
  } else {
    store_.replace(kClaimKind, object, done);
  }
}

void ClaimKeeper::onAnswer(ClaimNumber number, const StoreAnswer& answer) {
  const auto found = claims_.find(number);
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
      onOther(found, answer.object);
      return;
    case StoreStatus::Absent:
      claim.revision = {};
      claim.next = clock_.now();
      return;
    case StoreStatus::Refused:
    case StoreStatus::Unknown:
      claim.next = clock_.now() + config_.retry;
      return;
  }
}

/// The record as it was sent stands in the store. It may have been sent before the request ended.
void ClaimKeeper::onWritten(Claims::iterator found, const MetadataObject& object) {
  Claim& claim = found->second;
  claim.revision = object.revision;
  claim.again = false;
  const ClaimState written = ClaimRecord::decode(object.value).state;
  if (claim.ended) {
    if (written == claim.record.state) {
      remember(claim.name, object.revision);
      keep(claim);
      claims_.erase(found);
    } else {
      claim.next = clock_.now();
    }
    return;
  }
  if (claim.granted) {
    return;
  }
  if (clock_.now() < hold_until_) {
    // Whoever holds the claim already writes over this one until then, and the next write finds that out.
    claim.next = hold_until_;
    return;
  }
  claim.granted = true;
  decide(found, {ClaimVerdict::Granted, {}});
}

/// Another record stands in the store, or an earlier write of this claim that had no answer.
void ClaimKeeper::onOther(Claims::iterator found, const MetadataObject& object) {
  Claim& claim = found->second;
  const ClaimRecord other = ClaimRecord::decode(object.value);
  if (sameRequest(other, claim.record)) {
    onWritten(found, object);
    return;
  }
  const bool has_run = other.state == ClaimState::Answered || other.state == ClaimState::Unknown;
  const bool frees_key = claim.record.state == ClaimState::NotRun;
  if (claim.again && !has_run && !frees_key) {
    claim.revision = object.revision;
    claim.next = clock_.now();
    return;
  }
  claim.again = false;
  if (claim.granted && !claim.ended) {
    return;
  }
  if (claim.ended) {
    // Settled by another, or never made: nothing of this claim can come any more.
    claims_.erase(found);
    return;
  }
  if (other.state == ClaimState::NotRun) {
    claim.revision = object.revision;
    claim.next = clock_.now();
    return;
  }
  ClaimAnswer answer = verdictOn(other);
  const Decided decided = std::move(claim.decided);
  claims_.erase(found);
  decided(answer);
}

ClaimAnswer ClaimKeeper::verdictOn(const ClaimRecord& other) const {
  switch (other.state) {
    case ClaimState::Answered:
      return other.answer ? ClaimAnswer{ClaimVerdict::Recorded, *other.answer}
                          : ClaimAnswer{ClaimVerdict::OutcomeUnknown, {}};
    case ClaimState::Open:
      return {lives_(other.holder) ? ClaimVerdict::InProgress : ClaimVerdict::OutcomeUnknown, {}};
    case ClaimState::NotRun:
    case ClaimState::Unknown:
      break;
  }
  return {ClaimVerdict::OutcomeUnknown, {}};
}

void ClaimKeeper::decide(Claims::iterator found, const ClaimAnswer& answer) {
  const Decided decided = std::exchange(found->second.decided, {});
  if (decided) {
    decided(answer);
  }
}

void ClaimKeeper::settle(Claim& claim, ClaimState state) {
  claim.ended = true;
  claim.record.state = state;
  claim.next = clock_.now();
}

void ClaimKeeper::finish(ClaimNumber number, ClaimEnd end, const HttpResponse& answer) {
  const auto found = claims_.find(number);
  if (found == claims_.end() || found->second.ended) {
    return;
  }
  Claim& claim = found->second;
  claim.decided = {};
  if (end == ClaimEnd::Answered && answer.body.size() <= config_.largest_answer) {
    claim.record.answer = answer;
  }
  settle(claim, stateOf(end));
}

void ClaimKeeper::onStoreRestored() {
  const TimePoint now = clock_.now();
  hold_until_ = now + config_.restore_hold;
  for (auto& [number, claim] : claims_) {
    if (claim.granted) {
      claim.revision = {};
      claim.again = true;
      claim.next = now;
    }
  }
  for (Kept& kept : kept_) {
    Claim& claim = claims_[++last_number_];
    claim.name = std::move(kept.name);
    claim.record = std::move(kept.record);
    claim.granted = true;
    claim.ended = true;
    claim.again = true;
    claim.next = now;
  }
  kept_.clear();
  kept_bytes_ = 0;
}

bool ClaimKeeper::isLate(const Claim& claim, TimePoint now) const {
  const bool held_longer = now < hold_until_ && claim.deadline <= hold_until_;
  return !claim.granted && !claim.ended && (now >= claim.deadline || held_longer);
}

void ClaimKeeper::keep(const Claim& claim) {
  if (claim.record.state == ClaimState::NotRun) {
    return;
  }
  Kept kept{clock_.now() + config_.copy_age, claim.name, claim.record};
  const std::size_t bytes = claim.record.answer ? claim.record.answer->body.size() : 0;
  if (kept_bytes_ + bytes > config_.most_kept_bytes) {
    // That it has run is worth more than what it was answered.
    kept.record.answer.reset();
  } else {
    kept_bytes_ += bytes;
  }
  kept_.push_back(std::move(kept));
}

void ClaimKeeper::tick(TimePoint now) {
  std::vector<ClaimNumber> late;
  for (auto& [number, claim] : claims_) {
    const bool to_write = claim.ended || !claim.granted || claim.again;
    if (isLate(claim, now)) {
      late.push_back(number);
    } else if (!claim.in_flight && to_write && now >= claim.next) {
      send(number, claim);
    }
  }
  for (const ClaimNumber number : late) {
    const auto found = claims_.find(number);
    settle(found->second, ClaimState::NotRun);
    decide(found, {ClaimVerdict::Unavailable, {}});
  }
  removeOld(now);
}

void ClaimKeeper::remember(const std::string& name, StoreRevision revision) {
  if (ended_.size() >= config_.most_remembered) {
    ended_.pop_front();
  }
  ended_.push_back({clock_.now() + config_.retention, name, revision});
}

void ClaimKeeper::removeOld(TimePoint now) {
  while (!kept_.empty() && kept_.front().until <= now) {
    kept_bytes_ -= kept_.front().record.answer ? kept_.front().record.answer->body.size() : 0;
    kept_.pop_front();
  }
  while (!ended_.empty() && ended_.front().remove_at <= now) {
    store_.remove(kClaimKind, ended_.front().name, ended_.front().revision, [](const StoreAnswer&) {});
    ended_.pop_front();
  }
}

}  // namespace shedlever
