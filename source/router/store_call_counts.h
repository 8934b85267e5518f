#pragma once

/// @file
/// How many calls to the store a process made, of which kind and with which end, for one line of the log now and then.

#include <cstdint>
#include <map>
#include <string>

namespace shedlever {

/// @param status of the store's answer; 0 when there was none.
/// @return "done", "conflict", "refused" or "no-answer".
const char* storeOutcomeWord(int status);

class StoreCallCounts {
 public:
  /// A call has ended.
  void note(const std::string& kind, const std::string& verb, int status);

  /// @return counts since the last call of this, as "kind/verb/outcome:count", by commas; empty when there were none.
  std::string take();

 private:
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace shedlever
