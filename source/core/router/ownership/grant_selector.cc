#include "source/core/router/ownership/grant_selector.h"

#include <algorithm>
#include <utility>

namespace shedlever {

GrantSelector::GrantSelector(NodeName self, const OwnerTable& table) : self_(std::move(self)), table_(table) {}

std::vector<OwnedRange> GrantSelector::owned(const InstanceId& server) const {
  std::vector<OwnedRange> ranges;
  for (const OwnedRange& range : table_.ranges()) {
    if (range.owner == server && range.node == self_ && !range.releasing) {
      ranges.push_back(range);
    }
  }
  return ranges;
}

std::vector<OwnedRange> GrantSelector::ownedOrStillHeld(const InstanceId& server, const KeyReport& report) const {
  std::vector<OwnedRange> ranges = owned(server);
  for (const OwnedRange& range : table_.ownedBy(server)) {
    const ReportedRange same{range.keys.first, range.keys.last, range.token};
    const bool still_held = std::find(report.held.begin(), report.held.end(), same) != report.held.end();
    if (range.releasing && still_held) {
      ranges.push_back(range);
    }
  }
  return ranges;
}

std::vector<OwnedRange> GrantSelector::resumable(const InstanceId& server, const KeyReport& report) const {
  std::vector<OwnedRange> ranges;
  for (const ReportedRange& held : report.held) {
    const auto is_owned_by_other = [&](const OwnedRange& range) {
      return range.keys.first <= held.last && held.first <= range.keys.last && range.owner != server;
    };
    const std::vector<OwnedRange>& known = table_.ranges();
    if (std::none_of(known.begin(), known.end(), is_owned_by_other)) {
      OwnedRange range;
      range.keys = {held.first, held.last};
      range.owner = server;
      range.node = self_;
      range.token = held.token;
      ranges.push_back(range);
    }
  }
  return ranges;
}

}  // namespace shedlever
