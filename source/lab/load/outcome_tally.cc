#include "source/lab/load/outcome_tally.h"

namespace shedlever::load {

void OutcomeTally::add(const RequestRecord& record) {
  ++total_;
  ++by_outcome_[record.outcome];
  if (record.outcome == CallerOutcome::Answered) {
    latency_.add(record.latency());
  } else {
    ++by_reason_[std::string(toString(record.outcome)) + " " + record.reason];
  }
  wrong_ += record.fault == ResponseFault::Wrong ? 1 : 0;
  truncated_ += record.fault == ResponseFault::Truncated ? 1 : 0;
}

std::uint64_t OutcomeTally::count(CallerOutcome outcome) const {
  const auto found = by_outcome_.find(outcome);
  return found == by_outcome_.end() ? 0 : found->second;
}

}  // namespace shedlever::load
