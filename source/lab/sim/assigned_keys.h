#pragma once

/// @file
/// Keys of a server that receives key assignments in heartbeat acknowledgements, as the platform's protocol specifies.
/// Used by the simulator and by the stand-in server.

#include <functional>
#include <optional>
#include <vector>

#include "shedlever/key_report.h"
#include "source/core/router/ownership/owner_table.h"

namespace shedlever::sim {

/// Holds keys 2% longer than assigned, as a server with a slow clock does.
class AssignedKeys {
 public:
  /// @param has_running_work whether requests for keys that the server started to release at the given time still run.
  AssignedKeys(const Clock& clock, std::function<bool(const KeyRange&, TimePoint release_started)> has_running_work);

  /// @return the key report for a heartbeat that is sent now.
  KeyReport report();

  /// Applies an acknowledgement that arrived within the time limit.
  /// @param reported released ranges that the heartbeat reported.
  /// @param sent when the heartbeat was sent.
  /// @return the newly acquired ranges.
  std::vector<AssignedRange> onAcknowledged(const std::optional<KeyAssignment>& assignment,
                                            const std::vector<ReleasedRange>& reported, TimePoint sent);

  /// @return whether the release of some keys still waits for running requests. The server then sends its next
  /// heartbeat early.
  bool isReleasing() const { return !releasing_.empty(); }

  /// Drops all keys until the next assignment.
  void dropAllKeys();
  /// @return the token with which the server holds the key; 0 if it does not hold the key.
  FenceToken tokenOf(Key key) const;
  /// @return whether the server holds the key or, before the end of the hold, still processes requests for it.
  bool occupies(Key key) const;

 private:
  struct HeldRange {
    KeyRange keys;
    FenceToken token = 0;
    TimePoint expires{};
    /// When the server started to release the keys.
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
