#include "source/interface/client_response.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "source/interface/header_rules.h"

namespace shedlever {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string_view explanationOf(Reason reason) {
  switch (reason) {
    case Reason::None:
      return "no further detail is known";
    case Reason::BadRequest:
      return "the request can't be understood";
    case Reason::Unauthenticated:
      return "no valid bearer credential for this service was given";
    case Reason::UnknownService:
      return "no service has this path";
    case Reason::TooLarge:
      return "the body or the headers exceed the service's limits";
    case Reason::DeadlineExceeded:
      return "the caller's time is used up";
    case Reason::QueueFull:
      return "the tenant's queue at the server is full";
    case Reason::Overloaded:
      return "the server sheds load";
    case Reason::NoOwner:
      return "no server owns the key at the moment";
    case Reason::NotOwner:
      return "the server asked does not own the key";
    case Reason::Draining:
      return "the server is leaving and takes no new work";
    case Reason::ServerUnavailable:
      return "no server of the service can be reached";
    case Reason::ConnectionLost:
      return "the connection broke after the request was sent";
    case Reason::BadReply:
      return "the server's reply was cut, crossed or malformed";
    case Reason::Cancelled:
      return "the caller went away";
    case Reason::DuplicateInProgress:
      return "a request with the same idempotency key is running";
    case Reason::DuplicateUnknown:
      return "the outcome of an earlier request with the same idempotency key is unknown";
    case Reason::ClaimUnavailable:
      return "the once-only request could not be recorded in time";
    case Reason::MissingIdempotencyKey:
      return "requests of this service need an Idempotency-Key";
    case Reason::ShuttingDown:
      return "this gateway is stopping";
    case Reason::Quarantined:
      return "servers have ended while at work on the same request";
    case Reason::QuotaExceeded:
      return "the tenant's quota is used up";
  }
  return "no further detail is known";
}

std::string_view outcomePrefix(Outcome outcome) {
  switch (outcome) {
    case Outcome::Answered:
      return "Answered: ";
    case Outcome::NotRun:
      return "Not run: ";
    case Outcome::Unknown:
      return "It is unknown whether the request was run: ";
  }
  return "";
}

void addHeader(HttpResponse& response, std::string_view name, std::string value) {
  response.headers.push_back({std::string(name), std::move(value)});
}

void addRetryAfter(HttpResponse& response, Duration retry_after) {
  addHeader(response, "Retry-After", std::to_string(std::chrono::ceil<seconds>(retry_after).count()));
  addHeader(response, "Shedlever-Retry-After-Ms", std::to_string(std::chrono::ceil<milliseconds>(retry_after).count()));
}

/// A request that was not run gets 503 in place of 502, since 502 implies that it may have run.
int statusOf(const Refusal& refusal) {
  constexpr int kBadGateway = 502;
  constexpr int kServiceUnavailable = 503;
  const int status = httpStatusFor(refusal.reason);
  return refusal.outcome == Outcome::NotRun && status == kBadGateway ? kServiceUnavailable : status;
}

std::string bodyOf(const Refusal& refusal) {
  nlohmann::json body;
  body["outcome"] = toString(refusal.outcome);
  body["reason"] = toString(refusal.reason);
  body["message"] = std::string(outcomePrefix(refusal.outcome)) + std::string(explanationOf(refusal.reason)) + ".";
  body["request_id"] = refusal.id.value;
  return body.dump();
}

}  // namespace

Duration defaultRetryAfter(Reason reason) {
  switch (reason) {
    case Reason::NotOwner:
    case Reason::Draining:
      return milliseconds(200);
    case Reason::NoOwner:
    case Reason::ClaimUnavailable:
      return milliseconds(500);
    case Reason::QueueFull:
    case Reason::Overloaded:
    case Reason::ServerUnavailable:
    case Reason::DuplicateInProgress:
    case Reason::ShuttingDown:
      return seconds(1);
    default:
      return Duration::zero();
  }
}

HttpResponse refusalResponse(const Refusal& refusal) {
  HttpResponse response;
  response.status = statusOf(refusal);
  addHeader(response, "Content-Type", "application/json");
  addHeader(response, "Shedlever-Outcome", std::string(toString(refusal.outcome)));
  addHeader(response, "Shedlever-Reason", std::string(toString(refusal.reason)));
  addHeader(response, "Shedlever-Request-Id", refusal.id.value);
  if (refusal.reason == Reason::Unauthenticated) {
    addHeader(response, "WWW-Authenticate", "Bearer");
  }
  const bool has_retry_after = refusal.retry_after > Duration::zero();
  const Duration wait = has_retry_after ? refusal.retry_after : defaultRetryAfter(refusal.reason);
  if (refusal.outcome == Outcome::NotRun && wait > Duration::zero()) {
    addRetryAfter(response, wait);
  }
  response.body = bodyOf(refusal);
  return response;
}

void completeResponse(HttpResponse& response, const RequestId& id) {
  filterResponseHeaders(response.headers);
  addHeader(response, "Shedlever-Outcome", std::string(toString(Outcome::Answered)));
  addHeader(response, "Shedlever-Request-Id", id.value);
}

}  // namespace shedlever
