#pragma once

/// @file
/// Orders to the server beside this process about the keys that it holds.

#include <cstdint>
#include <functional>
#include <string>

#include "shedlever/router_frames.h"
#include "shedlever/time.h"

namespace shedlever {

struct GrantOrder {
  Key first = 0;
  Key last = 0;
  std::uint64_t token = 0;
  Duration hold{};
  /// Empty when the last owner gave none.
  std::string handover;
};

struct ReleaseOrder {
  Key first = 0;
  Key last = 0;
  std::uint64_t token = 0;
};

enum class OrderStatus : std::uint8_t {
  Done,
  Superseded,  ///< the server has seen a higher token
  NoAnswer,    ///< it may be carried out, even seconds later
  ServerGone,  ///< nothing listens at the server's address
};

struct ReleaseResult {
  OrderStatus status = OrderStatus::NoAnswer;
  std::string handover;
};

/// Callbacks run from the event loop, once, never inside the call that started them.
class ServerOrders {
 public:
  virtual ~ServerOrders() = default;
  virtual void grant(const GrantOrder& order, std::function<void(OrderStatus)> done) = 0;
  /// The answer comes once the work that ran on the keys has ended.
  virtual void release(const ReleaseOrder& order, std::function<void(ReleaseResult)> done) = 0;
};

}  // namespace shedlever
