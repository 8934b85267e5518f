#include "source/router/store_call_counts.h"

namespace shedlever {

namespace {

constexpr Duration kLogInterval = std::chrono::seconds(5);

}  // namespace

void StoreCallCounts::onCall(const std::string& kind, const std::string& method, TimePoint now) {
  ++counts_[{kind, method}];
  if (now >= next_line_) {
    next_line_ = now + kLogInterval;
    log_.write("store", "calls", {{"totals", summary()}});
  }
}

std::string StoreCallCounts::summary() const {
  std::string text;
  for (const auto& [name, count] : counts_) {
    text += (text.empty() ? "" : " ") + name.first + "/" + name.second + "=" + std::to_string(count);
  }
  return text;
}

}  // namespace shedlever
