#pragma once

/// @file
/// Checks that a response is complete and belongs to its request. Expects the response bodies of the stand-in server
/// (docs/PROTOCOLS.md).

#include <map>
#include <string>

#include "shedlever/http_messages.h"
#include "source/lab/load/request_generator.h"
#include "source/lab/load/request_record.h"

namespace shedlever::load {

class ResponseChecker {
 public:
  /// Must be called for every response that carries a request id, with any outcome, before `check`.
  void addRequest(const RequestId& id, const PlannedRequest& request);

  /// @param id the request's id as reported by the gateway.
  ResponseFault check(const PlannedRequest& request, const RequestId& id, const std::string& body) const;

 private:
  bool idMatches(const PlannedRequest& request, const RequestId& own_id, const RequestId& response_id) const;

  /// Idempotency keys of all requests whose id is known.
  std::map<RequestId, IdempotencyKey> idempotency_keys_;
};

}  // namespace shedlever::load
