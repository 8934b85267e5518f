#pragma once

/// @file
/// How the server beside a node learns which keys it holds. Servers differ: some are sent orders, others are told in
/// the acknowledgement of their heartbeats.

#include <functional>
#include <vector>

#include "shedlever/server_commands.h"
#include "source/core/router/owner_table.h"

namespace shedlever {

class GrantChannel {
 public:
  struct Events {
    /// The server has seen a higher token for the range.
    std::function<void(const OwnedRange&)> superseded;
    /// Nothing listens at the server's address.
    std::function<void()> server_gone;
    /// A range is held now that was not before.
    std::function<void()> newly_held;
  };
  using ReleaseCallback = std::function<void(const ReleaseResult&)>;

  virtual ~GrantChannel() = default;

  /// Does what is due. Ranges that are missing from `wanted` are not renewed.
  /// @param lease_until no grant outlasts it.
  virtual void update(const std::vector<OwnedRange>& wanted, TimePoint lease_until, TimePoint now) = 0;

  /// @return whether the server holds the key, as far as this process can know.
  virtual bool isHeld(Key key, TimePoint now) const = 0;

  /// The server refused a request since it does not hold the key.
  virtual void onKeyRefused(Key key) = 0;

  /// The server is to let go of a range.
  /// @param done runs once the server can't hold it any more; not inside the call. Never after `forgetAll`.
  virtual void release(const OwnedRange& range, ReleaseCallback done) = 0;

  /// The server has ended, or all that it held has lapsed.
  virtual void clear() = 0;
};

}  // namespace shedlever
