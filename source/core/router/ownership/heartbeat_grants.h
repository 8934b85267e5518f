#pragma once

/// @file
/// Grants keys in the acknowledgements of the server's heartbeats. Each acknowledgement lists everything that the
/// server is to hold and is computed when it is sent. Nothing is queued, so a delayed message cannot restore an
/// outdated assignment.
///
/// The server accepts any token that is not lower than one it has seen. This node alone therefore ensures that a key
/// has one owner: it assigns a range only while its lease is valid, and treats a range as released only when the server
/// reports the release or when every grant that covers the range has expired.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "shedlever/key_report.h"
#include "source/core/router/ownership/grant_channel.h"
#include "source/core/router/ownership/ownership_config.h"

namespace shedlever {

/// Counters for metrics.
struct HeartbeatGrantCounts {
  std::uint64_t acknowledgements = 0;
  /// Acknowledgements without a key assignment.
  std::uint64_t without_keys = 0;
  std::uint64_t released = 0;
  /// Releases that ended because the grants expired, without a report from the server.
  std::uint64_t lapsed = 0;
};

class HeartbeatGrants final : public GrantChannel {
 public:
  /// @param started start time of this process. Grants by an earlier process may last for one grant duration after it.
  HeartbeatGrants(const OwnershipConfig& config, TimePoint started, Events events);

  void update(const std::vector<OwnedRange>& wanted, TimePoint lease_until, TimePoint now) override;
  bool isHeld(Key key, TimePoint now) const override;
  TimePoint earlierHoldsUntil() const override { return earlier_hold_end_; }
  void onKeyRefused(Key key) override;
  void release(const OwnedRange& range, ReleaseCallback done) override;
  void clear() override;

  /// Handles a heartbeat.
  /// @param report must be newer than all earlier ones.
  void onReport(const KeyReport& report, TimePoint received);

  /// Computes what the server is to hold and records that it may hold this from now on.
  /// @param wanted ranges to assign; those that are being released are left out.
  /// @param report the heartbeat that is acknowledged.
  /// @param received time at which the heartbeat arrived.
  /// @return none if the lease is too short for a grant.
  std::optional<KeyAssignment> assign(const std::vector<OwnedRange>& wanted, const KeyReport& report,
                                      TimePoint lease_until, TimePoint received, TimePoint now);

  /// The acknowledgement with the last result of `assign` has been sent.
  void onAcknowledged();

  /// @return whether an acknowledgement now would change what the server holds.
  bool wouldChange(const std::vector<OwnedRange>& wanted, const KeyReport& report) const;

  /// @return whether the last heartbeat is so old that the server can hold nothing any more.
  bool allLapsed(TimePoint now) const;

  const HeartbeatGrantCounts& counts() const { return counts_; }

 private:
  /// A range as it was assigned last.
  struct RangeAssignment {
    OwnedRange range;
    /// Latest time until which the server may hold the range, including clock drift.
    TimePoint may_hold_until{};
    /// Time until which the server certainly holds the range if it has read the acknowledgement.
    TimePoint held_until{};
    /// Consecutive heartbeats that did not report the range as held.
    unsigned missed_reports = 0;
  };
  struct Release {
    OwnedRange range;
    ReleaseCallback done;
    /// Pieces that the server has released since the release began.
    std::vector<ReleasedRange> pieces;
    /// An acknowledgement without the range has been sent.
    bool omitted = false;
  };

  bool isBeingReleased(const KeyRange& keys) const;
  /// @return the ranges to assign: those not being released, up to the limit of one acknowledgement; ranges that the
  ///   server already holds take precedence.
  std::vector<OwnedRange> assignable(const std::vector<OwnedRange>& wanted, const KeyReport& report) const;
  const RangeAssignment* assignedFor(Key key) const;
  TimePoint mayHoldUntil(const KeyRange& keys) const;
  std::string handoverFor(const OwnedRange& range, const KeyReport& report) const;
  void recordAssignment(const std::vector<OwnedRange>& ranges, const KeyReport& report, Duration hold,
                        TimePoint received);
  void recordReleased(const KeyReport& report);
  void recordHeld(const KeyReport& report);
  /// @param report the heartbeat that has just arrived; null if only time has passed.
  void endReleases(TimePoint now, const KeyReport* report);

  const OwnershipConfig& config_;
  TimePoint started_;
  Events events_;
  /// Latest end of all assignments by this process.
  TimePoint latest_hold_end_{};
  /// Latest end of the assignments before the last `clear` and by an earlier process.
  TimePoint earlier_hold_end_;
  /// Ranges of the last acknowledgement, by first key.
  std::map<Key, RangeAssignment> assigned_;
  /// Ranges of earlier acknowledgements that may not have expired yet.
  std::vector<RangeAssignment> expiring_;
  /// The last acknowledgement assigned a range that the server did not hold.
  bool assigned_new_range_ = false;
  std::vector<Release> releases_;
  /// Handovers of the ranges that the server has released, by first key.
  std::map<Key, ReleasedRange> handovers_;
  TimePoint last_report_{};
  HeartbeatGrantCounts counts_;
};

}  // namespace shedlever
