#pragma once

/// @file
/// Remembers which connections have carried which requests, for as long as a request may be sent again.

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "shedlever/time.h"

namespace shedlever {

/// Identifies a connection of one client; never given to a second connection.
using ConnectionSerial = std::uint64_t;

class CarriedIdentities {
 public:
  /// The connection has carried an exchange with this identity. Does nothing if the identity is empty.
  /// @param until after which the request is not sent again.
  void add(const std::string& identity, ConnectionSerial connection, TimePoint until);

  /// @return the connections that have carried the identity.
  std::vector<ConnectionSerial> connectionsOf(const std::string& identity, TimePoint now);

  /// @return the number of identities that are remembered.
  std::size_t size() const { return connections_.size(); }

 private:
  struct Expiry {
    TimePoint at{};
    std::string identity;
  };

  void removeExpired(TimePoint now);

  std::unordered_map<std::string, std::vector<ConnectionSerial>> connections_;
  /// In the order of `add`, not of the times.
  std::deque<Expiry> expiries_;
};

}  // namespace shedlever
