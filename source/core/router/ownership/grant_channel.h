#pragma once

/// @file
/// Grants keys to the local server (the server on this process's node) and has it release them: by commands or in the
/// acknowledgements of its heartbeats.

#include <functional>
#include <vector>

#include "shedlever/server_commands.h"
#include "source/core/router/ownership/owner_table.h"

namespace shedlever {

class GrantChannel {
 public:
  struct Events {
    /// The server has seen a higher token for the range.
    std::function<void(const OwnedRange&)> superseded;
    /// Nothing listens at the server's address, or another instance does. The server may still run and hold keys.
    std::function<void()> server_gone;
    /// The server holds a range that it did not hold before.
    std::function<void()> newly_held;
  };
  using ReleaseCallback = std::function<void(const ReleaseResult&)>;

  virtual ~GrantChannel() = default;

  /// Sends grants that are due. Ranges missing from `wanted` are not renewed.
  /// @param lease_until no grant lasts longer.
  virtual void update(const std::vector<OwnedRange>& wanted, TimePoint lease_until, TimePoint now) = 0;

  /// @return whether the server holds the key, as far as this process can know.
  virtual bool isHeld(Key key, TimePoint now) const = 0;

  /// @return time from which no server holds a key by a grant before the last `clear`, whether or not it still runs.
  ///   Includes commands without an answer so far and grants by an earlier process.
  virtual TimePoint earlierHoldsUntil() const = 0;

  /// The server refused a request because it does not hold the key.
  virtual void onKeyRefused(Key key) = 0;

  /// Asks the server to release a range.
  /// @param done runs once the server can no longer hold the range, never inside this call and never after `clear`.
  virtual void release(const OwnedRange& range, ReleaseCallback done) = 0;

  /// Drops all state, because this process no longer grants keys to the server. The server may still hold some.
  virtual void clear() = 0;
};

}  // namespace shedlever
