#pragma once

/// @file
/// Error types. Functions that can fail return boost::leaf::result; input validation collects all findings and reports
/// them together, each with its location.

#include <boost/leaf.hpp>
#include <string>
#include <utility>
#include <vector>

namespace shedlever {

namespace leaf = boost::leaf;

/// One problem found in some input.
struct Finding {
  /// For example "file.conf:12", "--lease-ms", "services/talash#/backend/slots".
  std::string location;
  /// One sentence that says what is wrong and what would be valid.
  std::string message;

  auto operator<=>(const Finding&) const = default;
};

/// All findings of one validation. Used as an error object: `leaf::new_error(Findings{...})`.
struct Findings {
  std::vector<Finding> list;

  bool empty() const { return list.empty(); }
  void add(std::string location, std::string message) { list.push_back({std::move(location), std::move(message)}); }
  void append(const Findings& other) { list.insert(list.end(), other.list.begin(), other.list.end()); }
};

/// @return one line per finding: "location: message\n".
std::string toString(const Findings& findings);

/// An operation on a socket or the event loop failed.
struct NetworkError {
  /// The attempted operation, e.g. "bind 127.0.0.1:7001".
  std::string operation;
  /// errno; 0 if the failure has none.
  int error_number = 0;
};

/// A message from another process could not be decoded.
struct DecodeError {
  std::string what;
};

}  // namespace shedlever
