#include "source/net/carried_identities.h"

namespace shedlever {

namespace {

/// A repeated send may have a slightly later deadline than the first one, since the time on the way is estimated.
constexpr Duration kDeadlineTolerance = std::chrono::seconds(1);

}  // namespace

void CarriedIdentities::add(const std::string& identity, ConnectionSerial connection, TimePoint until) {
  if (identity.empty()) {
    return;
  }
  connections_[identity].push_back(connection);
  expiries_.push_back({until + kDeadlineTolerance, identity});
}

std::vector<ConnectionSerial> CarriedIdentities::connectionsOf(const std::string& identity, TimePoint now) {
  removeExpired(now);
  const auto found = connections_.find(identity);
  return found == connections_.end() ? std::vector<ConnectionSerial>() : found->second;
}

void CarriedIdentities::removeExpired(TimePoint now) {
  while (!expiries_.empty() && expiries_.front().at <= now) {
    const auto found = connections_.find(expiries_.front().identity);
    // Entries of one identity are added, and so removed, in the order of their connections.
    found->second.erase(found->second.begin());
    if (found->second.empty()) {
      connections_.erase(found);
    }
    expiries_.pop_front();
  }
}

}  // namespace shedlever
