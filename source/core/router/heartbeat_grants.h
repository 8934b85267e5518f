#pragma once

/// @file
/// Grants in the acknowledgements of the server's heartbeats. Each acknowledgement tells all that the server is to
/// hold, worked out when it is made: nothing is queued, so nothing late can bring an old state back.
///
/// The server takes any token that it has not seen a higher one for, so that one owner a key rests on this node alone:
/// a range is told only while the node's lease lasts, and counts as let go only when the server says so or when
/// everything that could have renewed it has run out.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "shedlever/key_report.h"
#include "source/core/router/grant_channel.h"
#include "source/core/router/ownership_config.h"

namespace shedlever {

/// Counts of what heartbeats have told and were told, for metrics.
struct HeartbeatGrantCounts {
  std::uint64_t acknowledgements = 0;
  /// Acknowledgements that told nothing of keys.
  std::uint64_t without_keys = 0;
  std::uint64_t released = 0;
  /// Ranges that were not reported as released and ran out.
  std::uint64_t lapsed = 0;
};

class HeartbeatGrants final : public GrantChannel {
 public:
  /// @param started when this process began: what an earlier one told the server may last until the length of a grant
  ///   after that.
  HeartbeatGrants(const OwnershipConfig& config, TimePoint started, Events events);

  void update(const std::vector<OwnedRange>& wanted, TimePoint lease_until, TimePoint now) override;
  bool isHeld(Key key, TimePoint now) const override;
  void onKeyRefused(Key key) override;
  void release(const OwnedRange& range, ReleaseCallback done) override;
  void clear() override;

  /// A heartbeat that is newer than all before it.
  void onReport(const KeyReport& report, TimePoint received);

  /// Works out what the server is to hold, and takes note that it may hold it from now on.
  /// @param wanted ranges to be told; those that are being released are left out.
  /// @param report the heartbeat that is acknowledged. @param received when it came.
  /// @return none when the lease is too short to tell anything.
  std::optional<KeyAssignment> assign(const std::vector<OwnedRange>& wanted, const KeyReport& report,
                                      TimePoint lease_until, TimePoint received, TimePoint now);

  /// An acknowledgement with what `assign` told has been given.
  void onAcknowledged();

  /// @return whether an acknowledgement now would change what the server holds.
  bool wouldChange(const std::vector<OwnedRange>& wanted, const KeyReport& report) const;

  /// @return whether the server can hold nothing any more, as it has not been heard of for so long.
  bool allLapsed(TimePoint now) const;

  const HeartbeatGrantCounts& counts() const { return counts_; }

 private:
  /// A range as it was told last.
  struct RangeAssignment {
    OwnedRange range;
    /// The server may hold it until then, by its own clock.
    TimePoint may_hold_until{};
    /// It holds it until then for sure if it has read the acknowledgement.
    TimePoint held_until{};
    /// Acknowledgements in a row that told it without the next heartbeat reporting it.
    unsigned missed_reports = 0;
  };
  struct Release {
    OwnedRange range;
    ReleaseCallback done;
    /// Pieces that the server has let go of since the release began.
    std::vector<ReleasedRange> pieces;
    /// An acknowledgement without the range has been given.
    bool omitted = false;
  };

  bool isBeingReleased(const KeyRange& keys) const;
  /// @return the ranges to be told: not being released, and not more than fit, those held already first.
  std::vector<OwnedRange> assignable(const std::vector<OwnedRange>& wanted, const KeyReport& report) const;
  const RangeAssignment* assignedFor(Key key) const;
  TimePoint mayHoldUntil(const KeyRange& keys) const;
  std::string handoverFor(const OwnedRange& range, const KeyReport& report) const;
  void recordAssignment(const std::vector<OwnedRange>& ranges, const KeyReport& report, Duration hold,
                        TimePoint received);
  void recordReleased(const KeyReport& report);
  void recordHeld(const KeyReport& report);
  /// @param report the heartbeat that has come now; null when time has passed only.
  void endReleases(TimePoint now, const KeyReport* report);

  const OwnershipConfig& config_;
  TimePoint started_;
  Events events_;
  /// Ranges of the last acknowledgement, by first key.
  std::map<Key, RangeAssignment> assigned_;
  /// Ranges of earlier ones that have not run out yet.
  std::vector<RangeAssignment> expiring_;
  /// The last acknowledgement told a range that the server did not hold.
  bool assigned_new_range_ = false;
  std::vector<Release> releases_;
  /// What the server let go of most recently, by first key.
  std::map<Key, ReleasedRange> handovers_;
  TimePoint last_report_{};
  HeartbeatGrantCounts counts_;
};

}  // namespace shedlever
