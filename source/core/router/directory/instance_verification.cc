#include "source/core/router/directory/instance_verification.h"

namespace shedlever {

namespace {

/// A server that doesn't answer its health check is not kept waiting for longer.
constexpr Duration kMaxHealthWait = std::chrono::seconds(1);
/// A report that was delayed on its way arrives within this time.
constexpr Duration kMaxReportDelay = std::chrono::seconds(10);

}  // namespace

const char* toString(VerificationGround ground) {
  switch (ground) {
    case VerificationGround::NoEarlierProcess:
      return "reported";
    case VerificationGround::HealthCheck:
      return "health-check";
    case VerificationGround::SaysLeaving:
      return "says-leaving";
    case VerificationGround::NothingKnown:
      return "nothing-known";
    case VerificationGround::StillReporting:
      return "still-reporting";
  }
  return "unknown";
}

void InstanceVerification::onNoEarlierProcess() {
  if (earlier_process_ == EarlierProcess::Unknown) {
    earlier_process_ = EarlierProcess::None;
  }
}

void InstanceVerification::onEarlierRecord() {
  if (earlier_process_ == EarlierProcess::Unknown) {
    earlier_process_ = EarlierProcess::Recorded;
  }
}

bool InstanceVerification::replacesPending(const ServerReport& report) const {
  if (pending_->instance == report.instance) {
    return report.sequence.value_or(0) >= pending_->sequence.value_or(0);
  }
  return !other_server_.empty() && other_server_ == serverIdOf(report.instance);
}

bool InstanceVerification::onReport(const ServerReport& report, TimePoint now) {
  if (pending_ && !replacesPending(report)) {
    return false;
  }
  if (!pending_ || pending_->instance != report.instance) {
    first_report_at_ = now;
    health_ = ServerHealth::Unknown;
    says_leaving_ = false;
    answered_ = false;
    other_server_ = {};
  }
  last_report_at_ = now;
  pending_ = report;
  return true;
}

void InstanceVerification::onHealthCheck(const HealthCheckResult& check) {
  if (!pending_ || check.server.empty()) {
    return;
  }
  if (check.server != serverIdOf(pending_->instance)) {
    other_server_ = check.server;
    return;
  }
  other_server_ = {};
  answered_ = true;
  says_leaving_ = check.condition && check.condition->leaving;
  // A server without a free slot may have said before that it does not serve.
  if (check.health != ServerHealth::Unknown) {
    health_ = check.health;
  }
}

std::optional<VerificationGround> InstanceVerification::groundForUse(TimePoint now) const {
  if (!pending_) {
    return std::nullopt;
  }
  if (earlier_process_ == EarlierProcess::None) {
    return VerificationGround::NoEarlierProcess;
  }
  if (!other_server_.empty()) {
    return std::nullopt;
  }
  if (says_leaving_) {
    return VerificationGround::SaysLeaving;
  }
  if (health_ == ServerHealth::Serving) {
    return VerificationGround::HealthCheck;
  }
  if (last_report_at_ - first_report_at_ >= kMaxReportDelay) {
    return VerificationGround::StillReporting;
  }
  // A full server rejects each health check until it has a slot, so that asking again only delays its use.
  const bool check_is_over = answered_ || now - first_report_at_ >= kMaxHealthWait;
  if (health_ == ServerHealth::Unknown && earlier_process_ == EarlierProcess::Recorded && check_is_over) {
    return VerificationGround::NothingKnown;
  }
  return std::nullopt;
}

void InstanceVerification::finish() {
  pending_.reset();
  finished_ = true;
}

}  // namespace shedlever
