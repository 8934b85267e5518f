#include "source/router/request_permits.h"

#include <utility>

namespace shedlever {

namespace {

/// Retry delay while a request with the same idempotency key runs or the store does not respond.
constexpr Duration kClaimRetryAfter = std::chrono::seconds(1);
/// Retry delay of a request that got no answer about its tenant's quota.
constexpr Duration kQuotaRetryAfter = std::chrono::milliseconds(100);

}  // namespace

void RequestPermits::obtain(RequestNumber number) {
  if (ports_.find(number)->info.quota.limited() && ports_.quota != nullptr) {
    takeQuota(number);
  } else {
    claim(number);
  }
}

void RequestPermits::takeQuota(RequestNumber number) {
  GatewayRequest& request = *ports_.find(number);
  request.awaits_quota = true;
  const TenantName tenant = request.info.tenant.name;
  ports_.quota->take(tenant, request.info.quota, [this, alive = alive_, number, tenant](const QuotaDecision& decision) {
    if (*alive) {
      onQuota(number, tenant, decision);
    }
  });
}

void RequestPermits::onQuota(RequestNumber number, const TenantName& tenant, const QuotaDecision& decision) {
  GatewayRequest* request = ports_.find(number);
  if (request == nullptr) {
    if (decision.verdict == QuotaVerdict::Granted) {
      ports_.quota->giveBack(tenant);
    }
    return;
  }
  request->awaits_quota = false;
  switch (decision.verdict) {
    case QuotaVerdict::Granted:
      request->has_quota_token = true;
      claim(number);
      return;
    case QuotaVerdict::Exceeded:
      ports_.on_refused(number, {Reason::QuotaExceeded, decision.retry_after});
      return;
    case QuotaVerdict::Unavailable:
      ports_.on_refused(number, {Reason::ServerUnavailable, decision.retry_after});
      return;
  }
}

void RequestPermits::claim(RequestNumber number) {
  GatewayRequest& request = *ports_.find(number);
  if (!request.route->needs_idempotency_key || ports_.claims == nullptr) {
    ports_.on_granted(number);
    return;
  }
  request.claiming = true;
  const ClaimKey key{request.service, request.info.tenant.name, request.info.idempotency_key};
  request.claim = ports_.claims->acquire(key, request.id, request.deadline,
                                         [this, number](ClaimResult result) { onClaim(number, std::move(result)); });
}

void RequestPermits::onClaim(RequestNumber number, ClaimResult result) {
  GatewayRequest* request = ports_.find(number);
  if (request == nullptr) {
    return;
  }
  request->claiming = false;
  if (result.verdict != ClaimVerdict::Granted) {
    request->claim = 0;
  }
  switch (result.verdict) {
    case ClaimVerdict::Granted:
      ports_.on_granted(number);
      return;
    case ClaimVerdict::Recorded:
      ports_.on_recorded(number, std::move(result.recorded_response));
      return;
    case ClaimVerdict::InProgress:
      ports_.on_refused(number, {Reason::DuplicateInProgress, kClaimRetryAfter});
      return;
    case ClaimVerdict::OutcomeUnknown:
      ports_.on_refused(number, {Reason::DuplicateUnknown, {}});
      return;
    case ClaimVerdict::Unavailable:
      ports_.on_refused(number, {Reason::ClaimUnavailable, kClaimRetryAfter});
      return;
  }
}

std::optional<PermitRefusal> RequestPermits::refusalAtDeadline(const GatewayRequest& request) {
  if (request.awaits_quota) {
    return PermitRefusal{Reason::ServerUnavailable, kQuotaRetryAfter};
  }
  if (request.claiming) {
    return PermitRefusal{Reason::ClaimUnavailable, kClaimRetryAfter};
  }
  return std::nullopt;
}

void RequestPermits::release(const GatewayRequest& request, ClaimOutcome end, const HttpResponse& response) {
  if (request.claim != 0) {
    HttpResponse recorded = response;
    ports_.server_protocol->removeCondition(recorded);
    ports_.claims->finish(request.claim, end, recorded);
  }
  if (request.has_quota_token && end == ClaimOutcome::NotRun) {
    ports_.quota->giveBack(request.info.tenant.name);
  }
}

}  // namespace shedlever
