#pragma once

/// @file
/// Logs and counts the grant and release commands to the local server.

#include <functional>

#include "shedlever/server_commands.h"
#include "source/router/event_log.h"
#include "source/router/router_metrics.h"

namespace shedlever {

/// Passes commands on unchanged. Each command counts in the metrics. Each release gets a log line; a grant gets one
/// unless it only renews what the server holds, see `GrantFinding`. The lines have a rate limit.
class CommandRecorder final : public ServerCommands {
 public:
  /// @param server, clock, log, metrics outlive the recorder and all commands.
  CommandRecorder(ServerCommands& server, const Clock& clock, EventLog& log, RouterMetrics& metrics)
      : server_(server), clock_(clock), log_(log), metrics_(metrics) {}

  void grant(const GrantCommand& command, std::function<void(CommandStatus)> done) override;
  void release(const ReleaseCommand& command, std::function<void(ReleaseResult)> done) override;

 private:
  void recordGrant(const GrantCommand& command, TimePoint sent, CommandStatus status);
  void recordRelease(const ReleaseCommand& command, TimePoint sent, CommandStatus status);

  ServerCommands& server_;
  const Clock& clock_;
  EventLog& log_;
  RouterMetrics& metrics_;
};

}  // namespace shedlever
