#pragma once

/// @file
/// Grants keys by commands to the server: sends and renews grants and tracks until when the server holds each range.

#include <map>

#include "source/core/router/ownership/grant_channel.h"
#include "source/core/router/ownership/ownership_config.h"

namespace shedlever {

class RequestGrants final : public GrantChannel {
 public:
  /// Grants by an earlier process may last until one grant duration after this object was made.
  RequestGrants(const OwnershipConfig& config, ServerCommands& server_commands, const Clock& clock, Events events);

  void update(const std::vector<OwnedRange>& wanted, TimePoint lease_until, TimePoint now) override;
  bool isHeld(Key key, TimePoint now) const override;
  TimePoint earlierHoldsUntil() const override;
  /// Nothing to do: a grant that the server has lost is renewed soon.
  void onKeyRefused(Key) override {}
  /// From then on the server refuses all older grants of the range, including delayed ones.
  void release(const OwnedRange& range, ReleaseCallback done) override;
  void clear() override;

 private:
  struct Grant {
    OwnedRange range;
    TimePoint held_until{};
    TimePoint next_send_at{};
    /// Number of the first command. Lower numbers are those of the range before it was lost and regained.
    std::uint64_t first_send = 0;
    /// Number of the newest command.
    std::uint64_t last_send = 0;
  };

  /// @return the longest duration, up to the configured one, with which a grant that is sent now and answered ends
  ///   before the lease.
  Duration holdWithin(TimePoint lease_until, TimePoint now) const;
  /// A grant command that has no answer yet.
  struct PendingCommand {
    TimePoint sent{};
    Duration hold{};
    /// Sent before the last `clear`.
    bool earlier = false;
  };

  void send(Grant& grant, Duration hold, TimePoint lease_until, TimePoint now);
  /// Records until when the server may hold the range of a command that has ended.
  /// @return whether the command was sent since the last `clear`, so that it was for the present server.
  bool recordHoldEnd(std::uint64_t send_number, CommandStatus status);
  /// @return end of a hold that began at the time, at a server with a slow clock.
  TimePoint holdEnd(TimePoint taken, Duration hold) const;
  void onAnswer(Key first, std::uint64_t send_number, CommandStatus status, TimePoint sent, Duration hold);

  const OwnershipConfig& config_;
  ServerCommands& server_commands_;
  const Clock& clock_;
  Events events_;
  /// By first key.
  std::map<Key, Grant> grants_;
  std::uint64_t last_send_ = 0;
  /// By send number.
  std::map<std::uint64_t, PendingCommand> pending_;
  /// Latest end of the holds of commands that have ended since the last `clear`.
  TimePoint latest_hold_end_{};
  /// The same for commands before it, and for those by an earlier process.
  TimePoint earlier_hold_end_;
};

}  // namespace shedlever
