#pragma once

/// @file
/// Errors. Functions that can fail return boost::leaf::result; checks of input collect findings and
/// report them all together, each with its place.

#include <boost/leaf.hpp>
#include <string>
#include <utility>
#include <vector>

namespace shedlever {

namespace leaf = boost::leaf;

/// One thing wrong with some input.
struct Finding {
  /// Where: "file.conf:12", "--lease-ms", "services/talash#/backend/slots".
  std::string location;
  /// What is wrong and what would be right, one sentence.
  std::string message;

  auto operator<=>(const Finding&) const = default;
};

/// All findings of one check. An error object of its own: `leaf::new_error(Findings{...})`.
struct Findings {
  std::vector<Finding> list;

  bool empty() const { return list.empty(); }
  void add(std::string location, std::string message) { list.push_back({std::move(location), std::move(message)}); }
  void append(const Findings& other) { list.insert(list.end(), other.list.begin(), other.list.end()); }
};

/// @return one line a finding: "place: message\n".
std::string toString(const Findings& findings);

/// An operation on a socket or the event loop failed.
struct NetworkError {
  /// What was tried, e.g. "bind 127.0.0.1:7001".
  std::string operation;
  /// errno, 0 when the failure has none.
  int error_number = 0;
};

/// A message from another process could not be decoded.
struct DecodeError {
  std::string what;
};

}  // namespace shedlever
