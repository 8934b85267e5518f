#pragma once

/// @file
/// Generates request ids that are unique across all gateways and their incarnations: node name, incarnation, counter.

#include <cstdint>
#include <optional>
#include <string>

#include "shedlever/identifiers.h"

namespace shedlever {

/// Sequence number of a request within this gateway's incarnation; the key of all tables in the gateway.
using RequestSequence = std::uint64_t;

class RequestIdGenerator {
 public:
  explicit RequestIdGenerator(const NodeIdentity& self);

  /// @return the next sequence number, starting at 1.
  RequestSequence next() { return ++last_; }

  /// @return the id with that sequence number. It is used in headers and paths, so it contains only ASCII letters,
  ///   digits and `-._~`.
  RequestId idOf(RequestSequence sequence) const;

  /// @return the sequence number of an id made by this gateway in this incarnation; none for any other text.
  std::optional<RequestSequence> sequenceOf(const RequestId& id) const;

 private:
  std::string prefix_;
  RequestSequence last_ = 0;
};

}  // namespace shedlever
