#pragma once

/// @file
/// Grants of this node's ranges to the server beside it: sent, renewed, and until when the server holds each.

#include <functional>
#include <map>

#include "shedlever/server_orders.h"
#include "source/core/router/owner_table.h"
#include "source/core/router/ownership_config.h"

namespace shedlever {

class RangeGrants {
 public:
  struct Events {
    /// The server has seen a higher token for the range.
    std::function<void(const OwnedRange&)> superseded;
    /// Nothing listens at the server's address.
    std::function<void()> server_gone;
    /// A range is held now that was not before.
    std::function<void()> newly_held;
  };

  RangeGrants(const OwnershipConfig& config, ServerOrders& orders, const Clock& clock, Events events);

  /// Sends what is due. Ranges that are missing from `wanted` are forgotten: the server lets them lapse, or was told to
  /// release them.
  /// @param lease_until no grant outlasts it.
  void tick(const std::vector<OwnedRange>& wanted, TimePoint lease_until, TimePoint now);

  /// @return whether the server holds the key for sure.
  bool held(Key key, TimePoint now) const;

  /// Forgets the range at once: it is about to be released.
  void forget(const KeySpan& keys);
  void forgetAll() { grants_.clear(); }

 private:
  struct Grant {
    OwnedRange range;
    TimePoint held_until{};
    TimePoint next{};
    bool in_flight = false;
    /// Numbers sends, so that an answer to an earlier one of a range given up and regained is told apart.
    std::uint64_t send_number = 0;
  };

  void send(Grant& grant, Duration hold, TimePoint now);
  void onAnswer(Key first, std::uint64_t send_number, OrderStatus status, TimePoint sent, Duration hold);

  const OwnershipConfig& config_;
  ServerOrders& orders_;
  const Clock& clock_;
  Events events_;
  /// By first key.
  std::map<Key, Grant> grants_;
  std::uint64_t last_send_ = 0;
};

}  // namespace shedlever
