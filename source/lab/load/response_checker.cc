#include "source/lab/load/response_checker.h"

#include <string_view>

namespace shedlever::load {

void ResponseChecker::addRequest(const RequestId& id, const PlannedRequest& request) {
  idempotency_keys_[id] = request.idempotency_key;
}

bool ResponseChecker::idMatches(const PlannedRequest& request, const RequestId& own_id,
                                const RequestId& response_id) const {
  if (response_id == own_id) {
    return true;
  }
  if (request.idempotency_key.empty()) {
    return false;
  }
  // A repeated at-most-once request gets the response of the request that ran, whose id may be unknown here.
  const auto found = idempotency_keys_.find(response_id);
  return found == idempotency_keys_.end() || found->second == request.idempotency_key;
}

ResponseFault ResponseChecker::check(const PlannedRequest& request, const RequestId& id,
                                     const std::string& body) const {
  constexpr std::string_view kAnswerText = "answer to ";
  if (!body.starts_with(kAnswerText)) {
    return ResponseFault::Truncated;
  }
  const RequestId response_id(body.substr(kAnswerText.size()));
  return idMatches(request, id, response_id) ? ResponseFault::None : ResponseFault::Wrong;
}

}  // namespace shedlever::load
