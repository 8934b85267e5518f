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

/// A grant without a response within this time after the call ends with `NoAnswer`. The server counts the grant's
/// duration from its arrival, so an answered grant lasts longer than one that arrives at once by at most this.
inline constexpr Duration kGrantTimeout = std::chrono::milliseconds(300);

/// What a grant was decided from, for logs; not sent to the server.
struct GrantBasis {
  /// Time at which the duration of the grant was computed.
  TimePoint decided_at{};
  /// End of the node's lease at that time.
  TimePoint lease_until{};
  /// The server already held the range when the command was sent.
  bool renewal = false;
  /// The lease ends before a grant of full length would.
  bool limited_by_lease = false;
};

struct GrantCommand {
  Key first = 0;
  Key last = 0;
  std::uint64_t token = 0;
  Duration hold_duration{};
  /// State from the previous owner; empty if there is none.
  std::string handover;
  /// The instance that the keys are granted to. Any other one refuses the command.
  InstanceId instance = {};
  GrantBasis basis = {};
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

/// @return the name in logs and metrics: `done`, `superseded`, `no-answer`, `connection-refused` or `wrong-instance`.
const char* toString(CommandStatus status);

struct ReleaseResult {
  CommandStatus status = CommandStatus::NoAnswer;
  std::string handover;
};

/// Each callback runs exactly once, from the event loop, never inside the call that registered it.
class ServerCommands {
 public:
  virtual ~ServerCommands() = default;
  /// @param done receives `NoAnswer` if there is no response within `kGrantTimeout`.
  virtual void grant(const GrantCommand& command, std::function<void(CommandStatus)> done) = 0;
  /// Completes once all running requests for the keys have ended.
  virtual void release(const ReleaseCommand& command, std::function<void(ReleaseResult)> done) = 0;
};

}  // namespace shedlever
