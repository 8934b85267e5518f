#pragma once

/// @file
/// Claims idempotency keys for requests that must run at most once. Before such a request is sent to a server, a create
/// call on the metadata store claims its key. Claims in the store outlive the processes that made them.

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "shedlever/http_messages.h"
#include "shedlever/identifiers.h"
#include "shedlever/metadata_store.h"
#include "source/core/router/claims/claim_config.h"
#include "source/core/router/claims/claim_epoch_guard.h"
#include "source/core/router/directory/process_end_tracker.h"

namespace shedlever {

/// Kind of claim objects in the store. No process watches this kind.
inline constexpr const char* kClaimObjectKind = "shedlever-claims";

/// Identifies a claim. Equal idempotency keys of different tenants or services are different claims.
struct ClaimKey {
  ServiceName service;
  TenantName tenant;
  IdempotencyKey key;
};

/// @return name of the claim's store object: a digest, because an idempotency key may contain any text.
std::string claimObjectName(const ClaimKey& key);

/// State of a claimed request.
enum class ClaimState : std::uint8_t {
  Open,      ///< the request may run
  NotRun,    ///< the request has not run and never will; its key is free again
  Answered,  ///< the request has run
  Unknown,   ///< the request may have run
};

/// Value of a claim object in the store.
struct ClaimRecord {
  RequestId request;
  /// Process that holds the claim.
  NodeIdentity holder;
  ClaimState state = ClaimState::Open;
  /// With Answered: the response that the client received; none if it exceeded `ClaimConfig::max_response_bytes`.
  std::optional<HttpResponse> response;

  std::string encode() const;
  /// @return the record; state Unknown if the text cannot be parsed.
  static ClaimRecord decode(const std::string& text);
};

enum class ClaimVerdict : std::uint8_t {
  Granted,         ///< the request may run now
  Recorded,        ///< an earlier request with the key has run; its response is available
  InProgress,      ///< another request with the key may be running
  OutcomeUnknown,  ///< an earlier request with the key may have run, or its response was not kept, or its claim may
                   ///< have been lost by a restore of the store
  Unavailable,     ///< no decision before the deadline; the request must not run
};

struct ClaimResult {
  ClaimVerdict verdict = ClaimVerdict::Unavailable;
  /// Set if the verdict is Recorded.
  HttpResponse recorded_response;
};

/// Outcome of a claimed request, as far as it is known for certain.
enum class ClaimOutcome : std::uint8_t { NotRun, Answered, Unknown };

/// Identifies a claim within this process; 0 stands for no claim.
using ClaimHandle = std::uint64_t;

/// Creates and updates the claims of one process. A claim that is abandoned before a decision may still be created by a
/// delayed store call. It is therefore recorded as not run, so that its key becomes free for later requests.
class ClaimManager {
 public:
  using DecisionCallback = std::function<void(const ClaimResult&)>;

  /// @param is_alive whether that incarnation of a process is still running, as far as is known.
  /// @param store, clock, process_ends must outlive the manager.
  ClaimManager(NodeIdentity self, MetadataStore& store, const Clock& clock, const ProcessEndTracker& process_ends,
               std::function<bool(const NodeIdentity&)> is_alive);

  void setConfig(const ClaimConfig& config);

  /// Some requests need claims. Called by `acquire` as well.
  void enable() { epoch_guard_.enable(); }

  /// @param on_decided called once and never within this call; not called if the claim is finished first.
  ClaimHandle acquire(const ClaimKey& key, const RequestId& request, TimePoint deadline, DecisionCallback on_decided);

  /// Records the outcome of the request. Has no effect on unknown claims and on claims that have already ended.
  void finish(ClaimHandle handle, ClaimOutcome outcome, const HttpResponse& response);

  /// Call after the store was restored from a backup, which may lack claims. Rewrites the granted and the recently
  /// finished claims of this process.
  void onStoreRestored();

  /// Sends pending writes, fails overdue claims and removes expired ones. Call about every 50 ms.
  void tick(TimePoint now);

  /// @return number of claims that are undecided, granted, or whose end is not yet written to the store.
  std::size_t activeClaims() const { return claims_.size(); }

  /// @return whether the end of a claim is not yet known to be written to the store. If the process exits before, later
  ///   requests with the key get no recorded response, and the key of a request that has not run is not free again.
  bool hasUnwrittenEnds() const;

 private:
  struct Claim {
    std::string name;
    ClaimRecord record;
    TimePoint deadline{};
    DecisionCallback on_decided;
    /// Last known revision of the record in the store; 0 if unknown.
    StoreRevision revision;
    bool granted = false;
    /// The request has ended; `record.state` must be written to the store.
    bool ended = false;
    /// The store may have lost the record: it is rewritten and replaces a claim that another request has made since.
    bool rewrite = false;
    bool in_flight = false;
    TimePoint next_send_at{};
  };

  struct ScheduledRemoval {
    TimePoint remove_at{};
    std::string name;
    StoreRevision revision;
  };

  /// A finished claim as it is recorded in the store.
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
  void decide(Claims::iterator claim, const ClaimResult& result);
  /// Decides a claim that the store holds according to what its key's absence from the store meant.
  void decideUnclaimed(Claims::iterator claim);
  /// Ends a claim that was not granted, and decides it.
  void refuse(Claims::iterator claim);
  /// @return the state of a claim that ends without having been granted.
  ClaimState stateIfNotGranted() const;
  void markEnded(Claim& claim, ClaimState state);
  ClaimResult verdictFor(const ClaimRecord& existing) const;
  void scheduleRemoval(const std::string& name, StoreRevision revision);
  /// Retains the record so that it can be rewritten after a restore of the store.
  void retain(const Claim& claim);
  void removeExpired(TimePoint now);
  /// @return whether the claim cannot be decided before its deadline.
  bool willMissDeadline(const Claim& claim, TimePoint now) const;

  NodeIdentity self_;
  MetadataStore& store_;
  const Clock& clock_;
  std::function<bool(const NodeIdentity&)> is_alive_;
  ClaimConfig config_;
  ClaimHandle last_handle_ = 0;
  Claims claims_;
  /// Ordered by time of removal.
  std::deque<ScheduledRemoval> scheduled_removals_;
  std::deque<RetainedClaim> retained_claims_;
  /// Total size of the response bodies in `retained_claims_`.
  std::size_t retained_response_bytes_ = 0;
  ClaimEpochGuard epoch_guard_;
};

}  // namespace shedlever
