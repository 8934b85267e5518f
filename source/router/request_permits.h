#pragma once

/// @file
/// Gets what a request needs before it may be sent to a server: a token of its tenant's quota, and the claim of its
/// idempotency key.

#include <functional>
#include <memory>
#include <optional>

#include "shedlever/platform_ports.h"
#include "source/core/router/claims/claim_manager.h"
#include "source/router/gateway_request.h"
#include "source/router/quota_coordinator.h"

namespace shedlever {

/// Why a request gets no permit.
struct PermitRefusal {
  Reason reason = Reason::None;
  Duration retry_after{};
};

/// Takes the quota token first, then claims the idempotency key.
class RequestPermits {
 public:
  /// Dependencies, which must outlive this object, and callbacks for the results.
  struct Ports {
    /// Null if no tenant has a quota.
    QuotaCoordinator* quota = nullptr;
    /// Null if no route needs idempotency keys.
    ClaimManager* claims = nullptr;
    const ServerProtocol* server_protocol = nullptr;
    /// @return the request; null if it has ended.
    std::function<GatewayRequest*(RequestNumber)> find;
    /// The request has all permits that it needs.
    std::function<void(RequestNumber)> on_granted;
    std::function<void(RequestNumber, const PermitRefusal&)> on_refused;
    /// An earlier request with the same idempotency key has run; this is its response.
    std::function<void(RequestNumber, HttpResponse)> on_recorded;
  };

  explicit RequestPermits(Ports ports) : ports_(std::move(ports)) {}
  ~RequestPermits() { *alive_ = false; }
  RequestPermits(const RequestPermits&) = delete;
  RequestPermits& operator=(const RequestPermits&) = delete;

  /// Gets the permits of a request. The result may be reported inside the call.
  void obtain(RequestNumber number);

  /// @return the refusal for a request whose time is over while it waits for a permit; std::nullopt if it waits for
  ///   none.
  static std::optional<PermitRefusal> refusalAtDeadline(const GatewayRequest& request);

  /// The request has ended: records the end of its claim and gives an unused token back.
  void release(const GatewayRequest& request, ClaimOutcome end, const HttpResponse& response);

 private:
  void takeQuota(RequestNumber number);
  void onQuota(RequestNumber number, const TenantName& tenant, const QuotaDecision& decision);
  /// Claims the idempotency key if the request needs one.
  void claim(RequestNumber number);
  void onClaim(RequestNumber number, ClaimResult result);

  Ports ports_;
  /// Set to false by the destructor, for callbacks that are still pending.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
