#pragma once

/// @file
/// Orders to the server beside this process about the keys that it holds.

#include <cstdint>
#include <functional>
#include <string>

#include "shedlever/router_frames.h"
#include "shedlever/time.h"

namespace shedlever {

struct GrantCommand {
  Key first = 0;
  Key last = 0;
  std::uint64_t token = 0;
  Duration hold_duration{};
  /// Empty when the last owner gave none.
  std::string handover;
};

struct ReleaseCommand {
  Key first = 0;
  Key last = 0;
  std::uint64_t token = 0;
};

enum class CommandStatus : std::uint8_t {
  Done,
  Superseded,  ///< the server has seen a higher token
  NoAnswer,    ///< it may be carried out, even seconds later
  ServerGone,  ///< nothing listens at the server's address
};

struct ReleaseResult {
  CommandStatus status = CommandStatus::NoAnswer;
  std::string handover;
};

/// Callbacks run from the event loop, once, never inside the call that started them.
class ServerCommands {
 public:
  virtual ~ServerCommands() = default;
  virtual void grant(const GrantCommand& order, std::function<void(CommandStatus)> done) = 0;
  /// The answer comes once the work that ran on the keys has ended.
  virtual void release(const ReleaseCommand& order, std::function<void(ReleaseResult)> done) = 0;
};

}  // namespace shedlever
