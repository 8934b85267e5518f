#include "source/router/ownership_recorder.h"

#include <algorithm>
#include <cstddef>
#include <string>

#include "source/core/router/duration_format.h"

namespace shedlever {

namespace {

/// Transfers that a line names.
constexpr std::size_t kMaxNamedTransfers = 4;

std::string describe(const OwnerTransfer& transfer) {
  std::string text = std::to_string(transfer.keys.first) + "-" + std::to_string(transfer.keys.last);
  text += " from " + (transfer.from.empty() ? "none" : transfer.from.value);
  text += " token " + std::to_string(transfer.token_before);
  text += " to " + transfer.to.instance.value + " at " + transfer.to.node.value;
  text += " token " + std::to_string(transfer.token_after);
  return text;
}

std::string describeFirst(const std::vector<OwnerTransfer>& transfers) {
  std::string text;
  for (std::size_t i = 0; i < std::min(transfers.size(), kMaxNamedTransfers); ++i) {
    text += (i == 0 ? "" : "; ") + describe(transfers[i]);
  }
  return text;
}

}  // namespace

void OwnershipRecorder::ownerChanged(const OwnerChange& change) {
  const TimePoint now = clock_.now();
  const std::string proof = toString(change.proof);
  metrics_.onEvent("owner-changed-" + proof);
  if (change.may_hold_until && *change.may_hold_until > now) {
    metrics_.onEvent("owner-changed-while-held");
  }
  const std::size_t count = change.transfers.size();
  log_.write("ownership", "owner-changed",
             {{"proof", proof},
              {"from_node", change.from_node.empty() ? "-" : change.from_node.value},
              {"may_hold_ms", change.may_hold_until ? formatMilliseconds(*change.may_hold_until - now) : "-"},
              {"ranges", std::to_string(count)},
              {"transfers", describeFirst(change.transfers)},
              {"more", std::to_string(count - std::min(count, kMaxNamedTransfers))}});
}

}  // namespace shedlever
