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
  AssignedKeys(const Clock& clock, std::function<bool(const KeyRange&, TimePoint let_go)> works);

  /// @return the keys' part of a heartbeat that is sent now.
  KeyReport report();

  /// An acknowledgement, in time.
  /// @param reported what that heartbeat said was released. @param sent when the heartbeat was.
  /// @return the ranges that are newly taken.
  std::vector<AssignedRange> onAcknowledged(const std::optional<KeyAssignment>& assignment,
                                            const std::vector<ReleasedRange>& reported, TimePoint sent);

  /// @return whether work goes on that keeps the server from letting go of keys: it sends its next heartbeat soon.
  bool isLettingGo() const { return !leaving_.empty(); }

  /// Holds nothing until it is told anew.
  void forgetAll();
  /// @return the token under which it holds the key; 0 when it does not.
  FenceToken tokenOf(Key key) const;
  /// @return whether it holds the key, or still works on requests for it within its lease.
  bool occupies(Key key) const;

 private:
  struct Row {
    KeyRange keys;
    FenceToken token = 0;
    TimePoint until{};
    /// When the server was told to let go.
    TimePoint let_go{};
  };

  bool refuses(const AssignedRange& range) const;
  void letGo(const Row& row, std::vector<AssignedRange> kept);
  void passTime();

  const Clock& clock_;
  std::function<bool(const KeyRange&, TimePoint)> works_;
  std::vector<FenceToken> seen_;
  std::vector<Row> rows_;
  std::vector<Row> leaving_;
  std::vector<ReleasedRange> released_;
};

}  // namespace shedlever::sim
