#pragma once

/// @file
/// Remembers when other router processes have ended, or may have ended, as far as this process has noticed.

#include <map>

#include "shedlever/identifiers.h"
#include "shedlever/time.h"

namespace shedlever {

class ProcessEndTracker {
 public:
  /// @param started start of this process. Its predecessor may have ended immediately before, and what ended earlier is
  ///   not known.
  explicit ProcessEndTracker(TimePoint started) : last_end_(started) {}

  /// The incarnation's record was read. A later incarnation than the known one proves that the known one has ended.
  void onRecord(const NodeIdentity& process, TimePoint now);
  /// The incarnation itself has answered: it runs.
  void onReached(const NodeIdentity& process, TimePoint now);
  /// The process of the node cannot be reached any more and may have ended.
  void onLost(const NodeName& node, TimePoint now);

  /// @return whether a process has ended, or may have ended, at the given time or later.
  bool mayHaveEndedSince(TimePoint since) const;

 private:
  TimePoint last_end_;
  std::map<NodeName, Incarnation> incarnations_;
  /// Nodes whose process may have ended, with the time since when.
  std::map<NodeName, TimePoint> lost_;
};

}  // namespace shedlever
