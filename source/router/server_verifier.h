#pragma once

/// @file
/// Verifies the first server that reports to a router process, by health checks, before the process uses it.

#include <functional>
#include <optional>

#include "shedlever/platform_ports.h"
#include "source/core/router/directory/instance_verification.h"
#include "source/router/event_log.h"

namespace shedlever {

class ServerVerifier {
 public:
  using HealthCallback = std::function<void(const HealthCheckResult&)>;
  /// @param used whether the report was used in time for its acknowledgement.
  using VerifiedCallback = std::function<void(bool used)>;

  struct Ports {
    const Clock* clock = nullptr;
    EventLog* log = nullptr;
    /// Sends a health check to the server's address.
    std::function<void(HealthCallback)> check_health;
    /// @return whether the path of the health check is known.
    std::function<bool()> can_check_health;
    /// Uses the report. @param check the last health check that the instance has answered; null if there is none.
    /// @return whether the report counts.
    std::function<bool(const ServerReport&, VerificationGround, const HealthCheckResult* check)> use;
  };

  explicit ServerVerifier(Ports ports) : ports_(std::move(ports)) {}

  /// See `InstanceVerification`.
  void onNoEarlierProcess();
  void onEarlierRecord();

  /// Uses the report once its instance is verified.
  /// @param done runs once, at the latest after the time for which an acknowledgement may wait.
  void verify(const ServerReport& report, VerifiedCallback done);

  /// @param report that an instance is leaving. @return the instance that is being verified if the report is about it,
  ///   which is then dropped; std::nullopt otherwise.
  std::optional<InstanceId> dropLeaving(const ServerReport& report);

  /// A server is in use; nothing is verified any more.
  void finish();
  bool finished() const { return verification_.finished(); }

  /// Repeats health checks. Called about every 50 ms.
  void tick();

 private:
  void proceed();
  void checkHealth();
  void onHealthCheck(const InstanceId& asked, const HealthCheckResult& check);
  void answer(bool used);

  Ports ports_;
  InstanceVerification verification_;
  /// Of the pending report, while its acknowledgement waits.
  VerifiedCallback done_;
  TimePoint answer_until_{};
  /// The last health check that the pending instance has answered.
  std::optional<HealthCheckResult> last_check_;
  bool checking_ = false;
  TimePoint next_check_at_{};
};

}  // namespace shedlever
