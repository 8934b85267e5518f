#pragma once

/// @file
/// Decides which keys of this node's server to move to other servers: all of them if too many requests fail here, and
/// some if this server is busier than the others.

#include <optional>
#include <vector>

#include "shedlever/time.h"
#include "source/core/router/directory/server_directory.h"
#include "source/core/router/ownership/balance_planner.h"
#include "source/core/router/ownership/key_load.h"
#include "source/core/router/ownership/owner_candidates.h"
#include "source/core/router/ownership/owner_table.h"
#include "source/core/router/ownership/ownership_config.h"
#include "source/core/router/ownership/placement/flow_keys.h"
#include "source/core/router/ownership/placement/plan_follower.h"

namespace shedlever {

/// Keys to be moved to other servers.
struct KeyTransfer {
  std::vector<KeyRange> pieces;
  /// The servers that take the pieces, in turn.
  std::vector<OwnerLocation> to;
};

/// What is to be done in one balancing step; nothing if there is neither a move nor a merge.
struct BalanceStep {
  KeyTransfer moves;
  /// Merge adjacent ranges of the server, because the table has too many.
  bool merge_ranges = false;
};

class KeyBalancer {
 public:
  /// @param config, directory, candidates, table, key_load must outlive this object; `table` is the newest known table.
  KeyBalancer(const OwnershipConfig& config, const ServerDirectory& directory, const OwnerCandidates& candidates,
              const OwnerTable& table, const KeyLoad& key_load);

  /// @param load offered to this node's server.
  void setOfferedLoad(const OfferedLoad& load) { offered_load_ = load; }
  /// @param ratio share of recent requests that failed at this node's server.
  void setFailureRatio(double ratio) { failure_ratio_ = ratio; }

  /// Moves have ended: the next step waits until the load that others report reflects them.
  void onMovesDone(TimePoint now) {
    next_step_ = now + config_.balance_settle;
    plans_.onMovesDone(next_step_);
  }

  /// Plans for the whole service that this owner receives.
  PlanFollower& plans() { return plans_; }
  /// Sets whether one node plans for the whole service. This owner then plans for itself only without a planner.
  /// @param silence time after which a planner is no longer followed; none if each owner plans for itself.
  void setServicePlan(std::optional<Duration> silence) { planner_silence_ = silence; }

  /// @param self this node's server.
  /// @return the step to take now; nothing while the next step is not due.
  BalanceStep nextStep(const InstanceId& self, TimePoint now);

  /// @return all keys of the server, in pieces of about equal load for the servers in `to`; none if `to` is empty.
  KeyTransfer moveAll(const InstanceId& self, const std::vector<OwnerLocation>& to, TimePoint now) const;

 private:
  /// @return the moves for the flows of a plan that was received since the last call; none if there was none.
  std::optional<KeyTransfer> plannedTransfer(const InstanceId& self, TimePoint now);
  BalanceInput plannerInput(const std::vector<OwnedRange>& owned, TimePoint now) const;
  /// @return the load offered to another server, as it reported it.
  OfferedLoad offeredTo(const OwnerLocation& location, TimePoint now) const;

  const OwnershipConfig& config_;
  const ServerDirectory& directory_;
  const OwnerCandidates& candidates_;
  const OwnerTable& table_;
  const KeyLoad& key_load_;
  BalancePlanner planner_;
  PlanFollower plans_;
  /// See `setServicePlan`.
  std::optional<Duration> planner_silence_;
  OfferedLoad offered_load_;
  double failure_ratio_ = 0;
  TimePoint next_step_{};
};

}  // namespace shedlever
