#include "source/router/quota_coordinator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shedlever {

namespace {

/// How long a holder may take to answer; well above the latency between two nodes.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(300);
/// How long a node that has not answered is not asked again.
constexpr Duration kExclusion = std::chrono::milliseconds(500);
constexpr Duration kUnavailableRetryAfter = std::chrono::milliseconds(200);
/// The view of the nodes changes seldom, and computing it takes time in a large fleet.
constexpr Duration kPlacementInterval = std::chrono::milliseconds(200);
constexpr int kFurtherHolders = 1;
constexpr double kMilli = 1000.0;

QuotaLimit limitOf(const QuotaRequestFrame& question) {
  return {static_cast<double>(question.requests_per_1000_s) / kMilli, static_cast<double>(question.burst)};
}

}  // namespace

QuotaCoordinator::QuotaCoordinator(NodeName self, Ports ports) : self_(std::move(self)), ports_(std::move(ports)) {}

void QuotaCoordinator::take(const TenantName& tenant, const QuotaLimit& limit, QuotaCallback done) {
  TenantState& state = tenants_[tenant];
  state.limit = limit;
  state.queue.add(std::move(done));
  askNext(tenant);
}

void QuotaCoordinator::giveBack(const TenantName& tenant) {
  const auto found = tenants_.find(tenant);
  if (found != tenants_.end()) {
    found->second.queue.giveBack();
  }
}

void QuotaCoordinator::askNext(const TenantName& tenant) {
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end() || !found->second.queue.mayAsk()) {
    return;
  }
  TenantState& state = found->second;
  QuotaRequestFrame question;
  question.tenant = tenant;
  question.wanted = state.queue.onAsked();
  question.returned = state.queue.takeUnused();
  question.requests_per_1000_s = static_cast<std::uint64_t>(std::lround(state.limit.requests_per_second * kMilli));
  question.burst = static_cast<std::uint64_t>(std::max(0.0, std::floor(state.limit.burst)));
  ask(tenant, question, kFurtherHolders);
}

void QuotaCoordinator::ask(const TenantName& tenant, const QuotaRequestFrame& question, int further_holders) {
  updatePlacement();
  const std::optional<NodeName> holder = placement_.holderOf(tenant, unanswering());
  if (!holder) {
    finish(tenant, tenants_[tenant].queue.onUnavailable(kUnavailableRetryAfter));
    return;
  }
  if (*holder == self_) {
    onAnswer(tenant, question, self_, 0, answer(question));
    return;
  }
  ports_.ask(*holder, question, kAnswerTimeout,
             [this, alive = alive_, tenant, question, node = *holder,
              further_holders](const std::optional<QuotaGrantFrame>& answer) {
               if (*alive) {
                 onAnswer(tenant, question, node, further_holders, answer);
               }
             });
}

void QuotaCoordinator::onAnswer(const TenantName& tenant, const QuotaRequestFrame& question, const NodeName& holder,
                                int further_holders, const std::optional<QuotaGrantFrame>& answer) {
  if (answer && answer->is_holder) {
    finish(tenant, tenants_[tenant].queue.onAnswered({answer->granted, Duration(answer->retry_after_us)}));
    return;
  }
  ports_.metrics->onEvent(answer ? "quota-not-held" : "quota-no-answer");
  if (ports_.log->mayWriteFailed()) {
    ports_.log->write("quota", answer ? "not-held" : "no-answer", {{"tenant", tenant.value}, {"node", holder.value}});
  }
  if (holder != self_) {
    excluded_until_[holder] = ports_.clock->now() + kExclusion;
  }
  if (further_holders > 0) {
    ask(tenant, question, further_holders - 1);
  } else {
    finish(tenant, tenants_[tenant].queue.onUnavailable(kUnavailableRetryAfter));
  }
}

void QuotaCoordinator::finish(const TenantName& tenant,
                              const std::vector<std::pair<QuotaCallback, QuotaDecision>>& ended) {
  for (const auto& [done, decision] : ended) {
    done(decision);
  }
  askNext(tenant);
  const auto found = tenants_.find(tenant);
  if (found != tenants_.end() && found->second.queue.idle()) {
    tenants_.erase(found);
  }
}

QuotaGrantFrame QuotaCoordinator::answer(const QuotaRequestFrame& question) {
  const TimePoint now = ports_.clock->now();
  updatePlacement();
  const std::optional<NodeName> holder = placement_.holderOf(question.tenant, {});
  QuotaGrantFrame answer;
  answer.exchange = question.exchange;
  answer.is_holder = holder == self_;
  if (!answer.is_holder) {
    // The asking node may know that the holder can't be reached.
    if (holder) {
      ports_.ensure_connected(*holder);
    }
    return answer;
  }
  const QuotaGrant grant =
      holder_.grant(question.tenant, limitOf(question), question.wanted, question.returned, placement_.share(now), now);
  answer.granted = grant.granted;
  answer.retry_after_us = grant.retry_after.count();
  return answer;
}

void QuotaCoordinator::updatePlacement() {
  const TimePoint now = ports_.clock->now();
  if (now < next_placement_) {
    return;
  }
  next_placement_ = now + kPlacementInterval;
  holder_.removeUnused(now);
  std::vector<QuotaNode> nodes;
  for (const NodeRecord* record : ports_.directory->nodes()) {
    if (record->holds_quotas && record->serves()) {
      nodes.push_back({record->node, record->node == self_ || !ports_.directory->isUnreachable(record->node)});
    }
  }
  placement_.update(std::move(nodes), now);
}

std::set<NodeName> QuotaCoordinator::unanswering() {
  const TimePoint now = ports_.clock->now();
  std::erase_if(excluded_until_, [now](const auto& entry) { return entry.second <= now; });
  std::set<NodeName> nodes;
  for (const auto& [node, until] : excluded_until_) {
    nodes.insert(node);
  }
  return nodes;
}

}  // namespace shedlever
