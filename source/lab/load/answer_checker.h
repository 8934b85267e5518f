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

class AnswerChecker {
 public:
  /// Call for every reply that carries a request id, answered or not, before `check`.
  void learn(const RequestId& id, const PlannedRequest& request);

  /// @param id the request's own id, as the gateway told it.
  AnswerFault check(const PlannedRequest& request, const RequestId& id, const std::string& body) const;

 private:
  bool idFits(const PlannedRequest& request, const RequestId& own, const RequestId& answered) const;

  /// Of all requests whose id is known.
  std::map<RequestId, IdempotencyKey> known_;
};

}  // namespace shedlever::load
