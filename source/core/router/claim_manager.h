#pragma once

/// @file
/// Claims of once-only requests: before a request with an idempotency key is sent to a server, one create call on the
/// metadata store makes the key its own. The store keeps claims whatever becomes of all processes.

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "shedlever/http_messages.h"
#include "shedlever/identifiers.h"
#include "shedlever/metadata_store.h"

namespace shedlever {

/// Kind of claim objects in the store; nobody watches it.
inline constexpr const char* kClaimObjectKind = "shedlever-claims";

/// What is claimed. Two tenants' keys are different keys.
struct ClaimKey {
  ServiceName service;
  TenantName tenant;
  IdempotencyKey key;
};

/// @return name of the claim's object: a digest, since keys are any text.
std::string claimObjectName(const ClaimKey& key);

/// How far a claimed request has come.
enum class ClaimState : std::uint8_t {
  Open,      ///< it may run
  NotRun,    ///< it has not run and never will: the key is free
  Answered,  ///< it has run
  Unknown,   ///< it may have run
};

/// Value of a claim object.
struct ClaimRecord {
  RequestId request;
  /// The process that holds the claim.
  NodeIdentity holder;
  ClaimState state = ClaimState::Open;
  /// With Answered: what the client got; none when that was too large to be kept.
  std::optional<HttpResponse> response;

  std::string encode() const;
  /// @return the record; one of unknown outcome for text that can't be read.
  static ClaimRecord decode(const std::string& text);
};

enum class ClaimVerdict : std::uint8_t {
  Granted,         ///< the request may run
  Recorded,        ///< an earlier request with the key has run; its answer is known
  InProgress,      ///< another request with the key may be running
  OutcomeUnknown,  ///< an earlier request with the key may have run, or its answer was not kept
  Unavailable,     ///< not decided in time; the request must not run
};

struct ClaimResult {
  ClaimVerdict verdict = ClaimVerdict::Unavailable;
  /// With Recorded.
  HttpResponse recorded_response;
};

/// How a claimed request ended, as far as it is proved.
enum class ClaimOutcome : std::uint8_t { NotRun, Answered, Unknown };

/// Names a claim of this process; 0 names none.
using ClaimHandle = std::uint64_t;

struct ClaimConfig {
  /// Between two calls about one claim where the first had no answer.
  Duration retry_interval = std::chrono::milliseconds(150);
  /// Largest answer that is kept for repeated requests, in bytes of its body.
  std::size_t max_response_bytes = 64U << 10U;
  /// How long a claim whose request has ended is kept.
  Duration retention = std::chrono::hours(24);
  /// Ended claims remembered for removal; older ones stay in the store.
  std::size_t max_scheduled_removals = 100000;
  /// After the store has come back from a copy: until a claim is granted. Whoever holds one that the store has lost has
  /// written it again by then; all processes hear of a later epoch within 2 s.
  Duration grant_delay_after_restore = std::chrono::milliseconds(2500);
  /// Copies are at most so old: records of claims that have ended are kept for so long, to be written again ...
  Duration max_backup_age = std::chrono::seconds(30);
  /// ... with answers of so many bytes in all.
  std::size_t max_retained_response_bytes = 4U << 20U;
};

/// A claim that is given up before it is decided may still be made by a late call. It is settled as not run, so that
/// its key is free again and no later request is held up by it.
class ClaimManager {
 public:
  using DecisionCallback = std::function<void(const ClaimResult&)>;

  /// @param lives whether that life of a process still runs, as far as is known.
  /// @param clock, store outlive the keeper.
  ClaimManager(NodeIdentity self, MetadataStore& store, const Clock& clock,
               std::function<bool(const NodeIdentity&)> is_alive);

  void setConfig(const ClaimConfig& config) { config_ = config; }

  /// @param decided runs once, never inside this call, unless the claim is finished first.
  ClaimHandle acquire(const ClaimKey& key, const RequestId& request, TimePoint deadline, DecisionCallback on_decided);

  /// The request has ended. Does nothing for claims that were not granted and are decided.
  void finish(ClaimHandle handle, ClaimOutcome end, const HttpResponse& answer);

  /// The store has come back from a copy, which may lack claims: writes again what this process holds, or has held of
  /// late.
  void onStoreRestored();

  /// Repeats what had no answer, removes what is old. Every 50 ms or so.
  void tick(TimePoint now);

  /// @return claims that are not decided, held, or not yet recorded as ended.
  std::size_t activeClaims() const { return claims_.size(); }

 private:
  struct Claim {
    std::string name;
    ClaimRecord record;
    TimePoint deadline{};
    DecisionCallback on_decided;
    /// Revision of the record in the store as last seen; 0: not seen.
    StoreRevision revision;
    bool granted = false;
    /// The request has ended: `record.state` is to be written.
    bool ended = false;
    /// The store may have lost it: it is to be written again, over a claim that another request has made since.
    bool rewrite = false;
    bool in_flight = false;
    TimePoint next_send_at{};
  };

  struct ScheduledRemoval {
    TimePoint remove_at{};
    std::string name;
    StoreRevision revision;
  };

  /// A claim that has ended, as it stands in the store.
  struct RetainedClaim {
    TimePoint retain_until{};
    std::string name;
    ClaimRecord record;
  };

  using Claims = std::map<ClaimHandle, Claim>;

  void send(ClaimHandle handle, Claim& claim);
  void onAnswer(ClaimHandle handle, const StoreAnswer& answer);
  void onWritten(Claims::iterator claim, const MetadataObject& object);
  void onConflict(Claims::iterator claim, const MetadataObject& object);
  void decide(Claims::iterator claim, const ClaimResult& answer);
  void markEnded(Claim& claim, ClaimState state);
  ClaimResult verdictFor(const ClaimRecord& other) const;
  void scheduleRemoval(const std::string& name, StoreRevision revision);
  /// Keeps the record in case that the store loses it.
  void retain(const Claim& claim);
  void removeExpired(TimePoint now);
  /// @return whether the claim can't be decided before its deadline.
  bool willMissDeadline(const Claim& claim, TimePoint now) const;

  NodeIdentity self_;
  MetadataStore& store_;
  const Clock& clock_;
  std::function<bool(const NodeIdentity&)> is_alive_;
  ClaimConfig config_;
  ClaimHandle last_handle_ = 0;
  Claims claims_;
  /// In order of their time.
  std::deque<ScheduledRemoval> scheduled_removals_;
  std::deque<RetainedClaim> retained_claims_;
  /// Of the answers in `kept_`.
  std::size_t retained_response_bytes_ = 0;
  /// No claim is granted before.
  TimePoint grants_held_until_{};
};

}  // namespace shedlever
