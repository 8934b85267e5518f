#pragma once

/// @file
/// Request ids, unique over all gateways and all their lives: node name, incarnation, counter.

#include <cstdint>
#include <optional>
#include <string>

#include "shedlever/identifiers.h"

namespace shedlever {

/// Number of a request among those of this gateway's life; the key of all tables in the gateway.
using RequestSequence = std::uint64_t;

class RequestIdGenerator {
 public:
  explicit RequestIdGenerator(const NodeIdentity& self);

  /// @return the next sequence, starting with 1.
  RequestSequence next() { return ++last_; }

  /// @return the id with that sequence. Only letters, digits and `-._~`: it stands in headers and paths.
  RequestId idOf(RequestSequence sequence) const;

  /// @return the sequence of an id made by this gateway in this life; nothing for any other text.
  std::optional<RequestSequence> sequenceOf(const RequestId& id) const;

 private:
  std::string prefix_;
  RequestSequence last_ = 0;
};

}  // namespace shedlever
