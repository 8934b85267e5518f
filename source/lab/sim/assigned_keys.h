#pragma once

/// @file
/// Keys of a server that takes them in the acknowledgements of its heartbeats, as the platform's protocol says: for the
/// simulator and for the stand-in of such a server.

#include <functional>
#include <optional>
#include <vector>

#include "shedlever/key_report.h"
#include "source/core/router/owner_table.h"

namespace shedlever::sim {

/// Counts its time 2% slow.
class AssignedKeys {
 public:
  /// @param works whether work on the keys, which the server let go of at that time, still runs.
  AssignedKeys(const Clock& clock, std::function<bool(const KeyRange&, TimePoint release_started)> works);

  /// @return the keys' part of a heartbeat that is sent now.
  KeyReport report();

  /// An acknowledgement, in time.
  /// @param reported what that heartbeat said was released. @param sent when the heartbeat was.
  /// @return the ranges that are newly taken.
  std::vector<AssignedRange> onAcknowledged(const std::optional<KeyAssignment>& assignment,
                                            const std::vector<ReleasedRange>& reported, TimePoint sent);

  /// @return whether work goes on that keeps the server from letting go of keys: it sends its next heartbeat soon.
  bool isReleasing() const { return !releasing_.empty(); }

  /// Holds nothing until it is told anew.
  void dropAllKeys();
  /// @return the token under which it holds the key; 0 when it does not.
  FenceToken tokenOf(Key key) const;
  /// @return whether it holds the key, or still works on requests for it within its lease.
  bool occupies(Key key) const;

 private:
  struct HeldRange {
    KeyRange keys;
    FenceToken token = 0;
    TimePoint expires{};
    /// When the server was told to let go.
    TimePoint release_started{};
  };

  bool isStale(const AssignedRange& range) const;
  void startRelease(const HeldRange& row, std::vector<AssignedRange> kept);
  void removeExpired();

  const Clock& clock_;
  std::function<bool(const KeyRange&, TimePoint)> has_running_work_;
  std::vector<FenceToken> max_tokens_;
  std::vector<HeldRange> held_;
  std::vector<HeldRange> releasing_;
  std::vector<ReleasedRange> released_;
};

}  // namespace shedlever::sim
