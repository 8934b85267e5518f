#include "source/interface/shedlever_client_protocol.h"

#include <algorithm>
#include <charconv>

#include "source/interface/client_response.h"
#include "source/interface/credentials.h"
#include "source/interface/header_rules.h"
#include "source/interface/request_target.h"

namespace shedlever {

namespace {

constexpr std::string_view kDeadlineHeader = "shedlever-deadline";
constexpr std::string_view kIdempotencyKeyHeader = "idempotency-key";

ClientRequestInfo refusedRequest(Reason reason) {
  ClientRequestInfo info;
  info.refusal = reason;
  return info;
}

/// @return the deadline header, or the service's default if there is none; nothing if the header is malformed.
std::optional<Duration> deadlineOf(const HttpRequest& request, const ServiceSettings& settings) {
  const HeaderLookup header = lookUpHeader(request.headers, kDeadlineHeader);
  if (header.count == 0) {
    return settings.default_deadline;
  }
  std::uint32_t milliseconds = 0;
  const char* const end = header.value.data() + header.value.size();
  const auto [parsed_end, error] = std::from_chars(header.value.data(), end, milliseconds);
  if (header.count > 1 || error != std::errc() || parsed_end != end) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(milliseconds);
}

}  // namespace

ClientRequestInfo ShedleverClientProtocol::readRequestInfo(const HttpRequest& request, const Route& route,
                                                           const RoutedService* service, const TenantKeys*) const {
  if (service == nullptr || !service->settings) {
    return refusedRequest(Reason::UnknownService);
  }
  const ServiceSettings& settings = *service->settings;
  if (!isSafeTarget(request.target)) {
    return refusedRequest(Reason::BadRequest);
  }
  const std::optional<std::string_view> credential = bearerCredential(request.headers);
  const TenantSettings* tenant = credential ? findTenant(*credential, settings.tenants) : nullptr;
  if (tenant == nullptr) {
    return refusedRequest(Reason::Unauthenticated);
  }
  ClientRequestInfo info;
  info.refusal = checkLimits(settings, request);
  info.tenant = {tenant->name, tenant->weight, tenant->queue_limit};
  info.time_left = deadlineOf(request, settings);
  const HeaderLookup idempotency = lookUpHeader(request.headers, kIdempotencyKeyHeader);
  info.idempotency_key = IdempotencyKey(std::string(idempotency.value));
  if (settings.divided_by_key) {
    info.key = requestKey(settings, request);
  }
  const bool key_missing = settings.divided_by_key && !info.key;
  if (info.refusal == Reason::None && (!info.time_left || idempotency.count > 1 || key_missing)) {
    info.refusal = Reason::BadRequest;
  }
  if (info.refusal == Reason::None && route.needs_idempotency_key && info.idempotency_key.empty()) {
    info.refusal = Reason::MissingIdempotencyKey;
  }
  return info;
}

void ShedleverClientProtocol::removeRouterHeaders(HttpRequest& request, const TenantKeys*) const {
  filterRequestHeaders(request.headers);
}

HttpResponse ShedleverClientProtocol::makeRefusalResponse(const Refusal& refusal) const {
  return refusalResponse(refusal);
}

void ShedleverClientProtocol::finalizeResponse(HttpResponse& response, const RequestId& id) const {
  completeResponse(response, id);
}

}  // namespace shedlever
