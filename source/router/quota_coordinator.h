#pragma once

/// @file
/// Takes tokens of tenants' quotas for the requests of this node's gateway, and grants tokens of the quotas that this
/// node holds to the gateways of all nodes.

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "shedlever/router_frames.h"
#include "source/core/router/directory/server_directory.h"
#include "source/core/router/quota/quota_holder.h"
#include "source/core/router/quota/quota_placement.h"
#include "source/core/router/quota/quota_queue.h"
#include "source/core/router/routes/route_table.h"
#include "source/net/event_loop.h"
#include "source/router/event_log.h"
#include "source/router/router_metrics.h"

namespace shedlever {

class QuotaCoordinator {
 public:
  /// Dependencies; all of them outlive the coordinator.
  struct Ports {
    EventLoop* loop = nullptr;
    const Clock* clock = nullptr;
    const ServerDirectory* directory = nullptr;
    EventLog* log = nullptr;
    RouterMetrics* metrics = nullptr;
    /// Sends a question to a node. `done` receives std::nullopt if no answer arrives within the timeout.
    std::function<void(const NodeName&, const QuotaRequestFrame&, Duration timeout,
                       std::function<void(std::optional<QuotaGrantFrame>)> done)>
        ask;
    /// Opens a stream to the node, so that its reachability becomes known.
    std::function<void(const NodeName&)> ensure_connected;
  };

  QuotaCoordinator(NodeName self, Ports ports);
  ~QuotaCoordinator() { *alive_ = false; }
  QuotaCoordinator(const QuotaCoordinator&) = delete;
  QuotaCoordinator& operator=(const QuotaCoordinator&) = delete;

  /// Takes one token. @param done runs once, inside the call or from the event loop.
  void take(const TenantName& tenant, const QuotaLimit& limit, QuotaCallback done);
  /// A granted token was not used: the request has not run.
  void giveBack(const TenantName& tenant);

  /// @return the answer to another node's question.
  QuotaGrantFrame answer(const QuotaRequestFrame& question);

 private:
  struct TenantState {
    QuotaLimit limit;
    QuotaQueue queue;
  };

  void askNext(const TenantName& tenant);
  /// @param further_holders how many other nodes may be asked if this one does not answer.
  void ask(const TenantName& tenant, const QuotaRequestFrame& question, int further_holders);
  void onAnswer(const TenantName& tenant, const QuotaRequestFrame& question, const NodeName& holder,
                int further_holders, const std::optional<QuotaGrantFrame>& answer);
  void finish(const TenantName& tenant, const std::vector<std::pair<QuotaCallback, QuotaDecision>>& ended);
  /// Updates the view of the nodes if it is too old.
  void updatePlacement();
  std::set<NodeName> unanswering();

  NodeName self_;
  Ports ports_;
  QuotaHolder holder_;
  QuotaPlacement placement_;
  TimePoint next_placement_{};
  std::map<TenantName, TenantState> tenants_;
  /// Nodes that have not answered, and until when they are not asked.
  std::map<NodeName, TimePoint> excluded_until_;
  /// Set to false by the destructor, for callbacks that are still pending.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
