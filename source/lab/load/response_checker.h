#pragma once

/// @file
/// Checks that an answer is whole and belongs to its own request. Answers have the form that the stand-in
/// server gives them (docs/PROTOCOLS.md).

#include <map>
#include <string>

#include "shedlever/http_messages.h"
#include "source/lab/load/request_generator.h"
#include "source/lab/load/request_record.h"

namespace shedlever::load {

class ResponseChecker {
 public:
  /// Call for every reply that carries a request id, answered or not, before `check`.
  void addRequest(const RequestId& id, const PlannedRequest& request);

  /// @param id the request's own id, as the gateway told it.
  ResponseFault check(const PlannedRequest& request, const RequestId& id, const std::string& body) const;

 private:
  bool idMatches(const PlannedRequest& request, const RequestId& own, const RequestId& answered) const;

  /// Of all requests whose id is known.
  std::map<RequestId, IdempotencyKey> idempotency_keys_;
};

}  // namespace shedlever::load
