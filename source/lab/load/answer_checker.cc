#include "source/lab/load/answer_checker.h"

#include <string_view>

namespace shedlever::load {

void AnswerChecker::learn(const RequestId& id, const PlannedRequest& request) { known_[id] = request.idempotency_key; }

bool AnswerChecker::idFits(const PlannedRequest& request, const RequestId& own, const RequestId& answered) const {
  if (answered == own) {
    return true;
  }
  if (request.idempotency_key.empty()) {
    return false;
  }
  // A repeated once-only request gets the answer of the one that ran, whose id may not be known here.
  const auto found = known_.find(answered);
  return found == known_.end() || found->second == request.idempotency_key;
}

AnswerFault AnswerChecker::check(const PlannedRequest& request, const RequestId& id, const std::string& body) const {
  constexpr std::string_view kAnswerText = "answer to ";
  if (!body.starts_with(kAnswerText)) {
    return AnswerFault::Cut;
  }
  const RequestId answered(body.substr(kAnswerText.size()));
  return idFits(request, id, answered) ? AnswerFault::None : AnswerFault::Wrong;
}

}  // namespace shedlever::load
