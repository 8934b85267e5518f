#include "source/lab/load/response_checker.h"

#include <string_view>

namespace shedlever::load {

void ResponseChecker::addRequest(const RequestId& id, const PlannedRequest& request) {
  idempotency_keys_[id] = request.idempotency_key;
}

bool ResponseChecker::idMatches(const PlannedRequest& request, const RequestId& own, const RequestId& answered) const {
  if (answered == own) {
    return true;
  }
  if (request.idempotency_key.empty()) {
    return false;
  }
  // A repeated once-only request gets the answer of the one that ran, whose id may not be known here.
  const auto found = idempotency_keys_.find(answered);
  return found == idempotency_keys_.end() || found->second == request.idempotency_key;
}

ResponseFault ResponseChecker::check(const PlannedRequest& request, const RequestId& id,
                                     const std::string& body) const {
  constexpr std::string_view kAnswerText = "answer to ";
  if (!body.starts_with(kAnswerText)) {
    return ResponseFault::Truncated;
  }
  const RequestId answered(body.substr(kAnswerText.size()));
  return idMatches(request, id, answered) ? ResponseFault::None : ResponseFault::Wrong;
}

}  // namespace shedlever::load
