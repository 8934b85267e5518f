#pragma once

/// @file
/// What the commands use of the world: the platform's store, endpoints of routers, waiting.

#include <functional>
#include <optional>
#include <string>

#include "shedlever/identifiers.h"
#include "shedlever/object_store.h"
#include "source/core/settings/settings_write.h"

namespace shedlever {

/// How the program ends.
enum class ExitCode : int {
  Done = 0,
  Failed = 1,    ///< it was not done
  Findings = 2,  ///< wrong usage, or documents with findings; nothing was done
  Conflict = 3,  ///< another operator's work would have been lost; nothing was written
  Unknown = 4,   ///< it may or may not have been done
};

/// How a call to a router ended.
enum class OperatorCallStatus : std::uint8_t {
  NotSent,       ///< proved: the router did not get it
  ResponseLost,  ///< it may have got it
  Answered,      ///< `http_status` and `body` are its answer
};

struct OperatorResponse {
  OperatorCallStatus status = OperatorCallStatus::ResponseLost;
  int http_status = 0;
  std::string body;
};

/// Calls the readiness endpoint of one router.
class OperatorClient {
 public:
  virtual ~OperatorClient() = default;

  /// @param done runs exactly once, later.
  virtual void call(const Endpoint& router, const std::string& method, const std::string& target,
                    std::function<void(const OperatorResponse&)> done) = 0;
};

class CliPorts {
 public:
  virtual ~CliPorts() = default;

  /// The store named by `--platform`.
  virtual ObjectStore& store() = 0;
  virtual OperatorClient& operators() = 0;
  virtual RetryTimer& timer() = 0;

  /// Lets events happen until `done` says true. @return its last answer; false when a cap of time is over.
  virtual bool runUntil(const std::function<bool()>& done) = 0;

  /// @return UTC, "2026-12-02T07:26:00Z".
  virtual std::string currentTime() = 0;
  /// @return a new unique id for a change.
  virtual std::string newChangeId() = 0;
  /// @return who runs the program, when `--author` does not say.
  virtual std::string userName() = 0;
};

/// Starts an asynchronous call and waits for its result. @return a default result when none comes, which
/// means "nothing is known" for every result type used here.
template <class Result, class Start>
Result awaitResult(CliPorts& ports, const Start& start) {
  const auto result = std::make_shared<std::optional<Result>>();
  start([result](const Result& value) { *result = value; });
  ports.runUntil([result] { return result->has_value(); });
  return result->value_or(Result{});
}

/// Waits without doing anything.
inline void pause(CliPorts& ports, Duration duration) {
  const auto over = std::make_shared<bool>(false);
  ports.timer().runAfter(duration, [over] { *over = true; });
  ports.runUntil([over] { return *over; });
}

}  // namespace shedlever
