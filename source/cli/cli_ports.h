#pragma once

/// @file
/// Interfaces of the commands to their environment: the platform's metadata store, the routers and time.

#include <functional>
#include <optional>
#include <string>

#include "shedlever/identifiers.h"
#include "shedlever/object_store.h"
#include "source/core/settings/settings_write.h"

namespace shedlever {

/// Exit codes of the program.
enum class ExitCode : int {
  Done = 0,
  Failed = 1,    ///< the command failed
  Findings = 2,  ///< wrong usage or invalid documents; nothing was changed
  Conflict = 3,  ///< a document was not written, because that would have overwritten another operator's change
  Unknown = 4,   ///< the change may or may not have been made
};

/// The outcome of a call to a router.
enum class OperatorCallStatus : std::uint8_t {
  NotSent,       ///< certain: the router did not receive the call
  ResponseLost,  ///< the router may have received the call
  Answered,      ///< `http_status` and `body` are the response
};

struct OperatorResponse {
  OperatorCallStatus status = OperatorCallStatus::ResponseLost;
  int http_status = 0;
  std::string body;
};

/// Calls the readiness endpoints of routers.
class OperatorClient {
 public:
  virtual ~OperatorClient() = default;

  /// @param done runs exactly once, after the call has returned.
  virtual void call(const Endpoint& router, const std::string& method, const std::string& target,
                    std::function<void(const OperatorResponse&)> done) = 0;
};

/// The environment of the commands.
class CliPorts {
 public:
  virtual ~CliPorts() = default;

  /// The store given with `--platform`.
  virtual ObjectStore& store() = 0;
  virtual OperatorClient& operators() = 0;
  virtual RetryTimer& timer() = 0;

  /// Handles events until `done` returns true or a time limit expires. @return the last result of `done`.
  virtual bool runUntil(const std::function<bool()>& done) = 0;

  /// @return the UTC time in the form "2026-12-02T07:26:00Z".
  virtual std::string currentTime() = 0;
  /// @return a new unique id for a change.
  virtual std::string newChangeId() = 0;
  /// @return the default for `--author`: the user who runs the program.
  virtual std::string userName() = 0;
};

/// Starts an asynchronous call and waits for its result. @return a default-constructed result after a timeout, which
/// stands for an unknown outcome in every result type used here.
template <class Result, class Start>
Result awaitResult(CliPorts& ports, const Start& start) {
  const auto result = std::make_shared<std::optional<Result>>();
  start([result](const Result& value) { *result = value; });
  ports.runUntil([result] { return result->has_value(); });
  return result->value_or(Result{});
}

/// Waits for the duration.
inline void pause(CliPorts& ports, Duration duration) {
  const auto elapsed = std::make_shared<bool>(false);
  ports.timer().runAfter(duration, [elapsed] { *elapsed = true; });
  ports.runUntil([elapsed] { return *elapsed; });
}

}  // namespace shedlever
