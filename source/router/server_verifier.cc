#include "source/router/server_verifier.h"

#include <utility>

namespace shedlever {

namespace {

/// Servers expect an acknowledgement within a second, of which keys may take a part.
constexpr Duration kMaxAcknowledgementWait = std::chrono::milliseconds(300);
constexpr Duration kCheckInterval = std::chrono::milliseconds(500);

}  // namespace

void ServerVerifier::onNoEarlierProcess() {
  verification_.onNoEarlierProcess();
  proceed();
}

void ServerVerifier::onEarlierRecord() {
  verification_.onEarlierRecord();
  proceed();
}

void ServerVerifier::verify(const ServerReport& report, VerifiedCallback done) {
  const TimePoint now = ports_.clock->now();
  const InstanceId before = verification_.pending() == nullptr ? InstanceId() : verification_.pending()->instance;
  if (!verification_.onReport(report, now)) {
    done(false);
    return;
  }
  answer(false);
  if (before != report.instance) {
    last_check_.reset();
    next_check_at_ = now;
  }
  done_ = std::move(done);
  answer_until_ = now + kMaxAcknowledgementWait;
  proceed();
}

std::optional<InstanceId> ServerVerifier::dropLeaving(const ServerReport& report) {
  const ServerReport* pending = verification_.pending();
  const bool is_same_server = pending != nullptr && serverIdOf(pending->instance) == serverIdOf(report.instance);
  // A notice without a start time is about the instance that runs.
  if (!is_same_server || (report.start && pending->instance != report.instance)) {
    return std::nullopt;
  }
  const InstanceId dropped = pending->instance;
  verification_.dropPending();
  answer(false);
  return dropped;
}

void ServerVerifier::finish() {
  verification_.finish();
  answer(false);
}

void ServerVerifier::tick() {
  if (done_ && ports_.clock->now() >= answer_until_) {
    answer(false);
  }
  proceed();
}

void ServerVerifier::answer(bool used) {
  if (done_) {
    std::exchange(done_, {})(used);
  }
}

void ServerVerifier::proceed() {
  if (verification_.pending() == nullptr) {
    return;
  }
  const auto ground = verification_.groundForUse(ports_.clock->now());
  if (!ground) {
    checkHealth();
    return;
  }
  const ServerReport report = *verification_.pending();
  verification_.finish();
  answer(ports_.use(report, *ground, last_check_ ? &*last_check_ : nullptr));
}

void ServerVerifier::checkHealth() {
  const TimePoint now = ports_.clock->now();
  if (checking_ || now < next_check_at_ || !ports_.can_check_health()) {
    return;
  }
  checking_ = true;
  next_check_at_ = now + kCheckInterval;
  ports_.check_health([this, asked = verification_.pending()->instance](const HealthCheckResult& check) {
    checking_ = false;
    onHealthCheck(asked, check);
  });
}

void ServerVerifier::onHealthCheck(const InstanceId& asked, const HealthCheckResult& check) {
  const ServerReport* pending = verification_.pending();
  if (pending == nullptr || pending->instance != asked) {
    return;
  }
  ports_.log->write("server", "health-checked",
                    {{"instance", asked.value},
                     {"running", check.server.value},
                     {"health", toString(check.health)},
                     {"refused", check.refused ? "1" : "0"}});
  if (check.server == serverIdOf(asked)) {
    last_check_ = check;
  }
  verification_.onHealthCheck(check);
  proceed();
}

}  // namespace shedlever
