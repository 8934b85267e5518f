#pragma once

/// @file
/// Commands to the local server (the server on this process's node) that grant and release keys.

#include <cstdint>
#include <functional>
#include <string>

#include "shedlever/identifiers.h"
#include "shedlever/router_frames.h"
#include "shedlever/time.h"

namespace shedlever {

struct GrantCommand {
  Key first = 0;
  Key last = 0;
  std::uint64_t token = 0;
  Duration hold_duration{};
  /// State from the previous owner; empty if there is none.
  std::string handover;
  /// The instance that the keys are granted to. Any other one refuses the command.
  InstanceId instance = {};
};

struct ReleaseCommand {
  Key first = 0;
  Key last = 0;
  std::uint64_t token = 0;
  /// The instance that is to release the keys. Any other one refuses the command.
  InstanceId instance = {};
};

enum class CommandStatus : std::uint8_t {
  Done,
  Superseded,     ///< the server has seen a higher token
  NoAnswer,       ///< the command may be executed, even seconds later
  ServerGone,     ///< the server's address refuses connections
  WrongInstance,  ///< another instance is at the server's address; it has not executed the command
};

struct ReleaseResult {
  CommandStatus status = CommandStatus::NoAnswer;
  std::string handover;
};

/// Each callback runs exactly once, from the event loop, never inside the call that registered it.
class ServerCommands {
 public:
  virtual ~ServerCommands() = default;
  virtual void grant(const GrantCommand& command, std::function<void(CommandStatus)> done) = 0;
  /// Completes once all running requests for the keys have ended.
  virtual void release(const ReleaseCommand& command, std::function<void(ReleaseResult)> done) = 0;
};

}  // namespace shedlever
