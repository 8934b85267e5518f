#pragma once

/// @file
/// Grants keys by commands to the server: sends and renews grants and tracks until when the server holds each range.

#include <map>

#include "source/core/router/ownership/grant_channel.h"
#include "source/core/router/ownership/ownership_config.h"

namespace shedlever {

class RequestGrants final : public GrantChannel {
 public:
  RequestGrants(const OwnershipConfig& config, ServerCommands& server_commands, const Clock& clock, Events events);

  void update(const std::vector<OwnedRange>& wanted, TimePoint lease_until, TimePoint now) override;
  bool isHeld(Key key, TimePoint now) const override;
  /// Nothing to do: a grant that the server has lost is renewed soon.
  void onKeyRefused(Key) override {}
  /// From then on the server refuses all older grants of the range, including delayed ones.
  void release(const OwnedRange& range, ReleaseCallback done) override;
  void clear() override { grants_.clear(); }

 private:
  struct Grant {
    OwnedRange range;
    TimePoint held_until{};
    TimePoint next_send_at{};
    bool in_flight = false;
    /// Distinguishes the current command from earlier ones for a range that was lost and regained.
    std::uint64_t send_number = 0;
  };

  /// @return the longest duration, up to the configured one, with which a grant that is sent now and answered ends
  ///   before the lease.
  Duration holdWithin(TimePoint lease_until, TimePoint now) const;
  void send(Grant& grant, Duration hold, TimePoint now);
  void onAnswer(Key first, std::uint64_t send_number, CommandStatus status, TimePoint sent, Duration hold);

  const OwnershipConfig& config_;
  ServerCommands& server_commands_;
  const Clock& clock_;
  Events events_;
  /// By first key.
  std::map<Key, Grant> grants_;
  std::uint64_t last_send_ = 0;
};

}  // namespace shedlever
