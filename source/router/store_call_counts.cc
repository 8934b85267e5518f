#include "source/router/store_call_counts.h"

namespace shedlever {

const char* storeOutcomeWord(int status) {
  constexpr int kConflict = 409;
  constexpr int kFirstError = 400;
  if (status == 0) {
    return "no-answer";
  }
  if (status < kFirstError) {
    return "done";
  }
  return status == kConflict ? "conflict" : "refused";
}

void StoreCallCounts::note(const std::string& kind, const std::string& verb, int status) {
  ++counts_[kind + "/" + verb + "/" + storeOutcomeWord(status)];
}

std::string StoreCallCounts::take() {
  std::string text;
  for (const auto& [what, count] : counts_) {
    text += (text.empty() ? "" : ",") + what + ":" + std::to_string(count);
  }
  counts_.clear();
  return text;
}

}  // namespace shedlever
