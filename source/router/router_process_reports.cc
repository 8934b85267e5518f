/// @file
/// Reports of the local server to a router process, and their acknowledgements.

#include <utility>

#include "source/core/router/duration_format.h"
#include "source/router/router_process.h"

namespace shedlever {

namespace {

constexpr int kNotFound = 404;
/// A server expects an acknowledgement within a second. While the store is unavailable, a notice is acknowledged
/// although it is not recorded; a later process then learns of it from the server's health check.
constexpr Duration kMaxNoticeWait = std::chrono::milliseconds(600);

}  // namespace

void RouterProcess::onReportRequest(const HttpRequest& request, const StrictHttpResponder& replier) {
  const auto report = platform_.reports->readReport(request);
  if (!report) {
    onUnreadable("reports", request.target);
    replier.reply({kNotFound, {}, {}});
    return;
  }
  onReport(*report, [this, replier, report = *report, received = clock_.now()](bool accepted) {
    acknowledge(report, accepted, received, replier);
  });
}

void RouterProcess::acknowledge(const ServerReport& report, bool accepted, TimePoint received,
                                const StrictHttpResponder& replier) {
  const auto reply = [this, replier, received, is_notice = report.draining](const KeyAssignment* keys) {
    const HttpResponse response = platform_.reports->acknowledgement(keys);
    if (is_notice) {
      replyToNotice(response, received, replier);
    } else {
      replier.reply(response);
    }
  };
  // The response to a late or repeated report must not assign keys.
  if (!accepted || !report.keys || !ownership_manager_) {
    reply(nullptr);
    return;
  }
  ownership_manager_->onKeyReport(*report.keys);
  setKeysLapsed(false);
  responder_.onHeartbeat(*report.keys, [this, reply, report = *report.keys](const std::optional<KeyAssignment>& keys) {
    reply(keys ? &*keys : nullptr);
    logAcknowledgement(report, keys);
  });
}

void RouterProcess::replyToNotice(const HttpResponse& response, TimePoint received,
                                  const StrictHttpResponder& replier) {
  const auto send = [this, response, replier](bool overdue) {
    if (overdue) {
      metrics_.onEvent("notice-not-recorded");
      log_.write("server", "notice-not-recorded", {{"instance", server_.instance().value}});
    }
    replier.reply(response);
  };
  notice_acknowledgements_.defer(clock_.now(), received + kMaxNoticeWait, send);
}

bool RouterProcess::noticesRecorded() const {
  const std::optional<NodeRecord>& record = publisher_.written();
  return record && record->leaving_instances == leaving_notices_.instances();
}

/// Logs an acknowledgement unless it only renews the keys that the server holds.
void RouterProcess::logAcknowledgement(const KeyReport& report, const std::optional<KeyAssignment>& keys) {
  const bool renews = keys && keys->ranges.size() == report.held.size() && report.released.empty();
  if (renews || (report.held.empty() && !keys)) {
    return;
  }
  log_.write("ownership", keys ? "keys-assigned" : "no-keys-assigned",
             {{"assigned", std::to_string(keys ? keys->ranges.size() : 0)},
              {"reported", std::to_string(report.held.size())},
              {"released", std::to_string(report.released.size())},
              {"hold_ms", keys ? formatMilliseconds(keys->hold_duration) : "-"},
              {"table", toString(ownership_manager_->tableWriter().revision())},
              {"lease_left_ms", formatMilliseconds(ownership_manager_->leaseUntil() - clock_.now())}});
}

void RouterProcess::onReport(const ServerReport& report, ReportCallback done) {
  if (report.leaving) {
    onLeavingReport(report);
    done(false);
    return;
  }
  if (server_.contradicts(report)) {
    verifyInstance(report);
    done(false);
    return;
  }
  // A server that leaves gets no requests, so that it need not be verified.
  const bool is_leaving = report.draining || leaving_notices_.contains(report.instance);
  if (!verifier_.finished() && !is_leaving && server_.isAcceptable(report)) {
    verifier_.verify(report, std::move(done));
    return;
  }
  done(applyReport(report, "reported") != PresenceChange::None);
}

void RouterProcess::onLeavingReport(const ServerReport& report) {
  if (server_.onLeaving(report)) {
    onServerDraining("deregistered", keyHandoverTime());
    return;
  }
  logIgnoredReport("other-instance-left", report);
  leaving_notices_.add(report.instance);
  if (const auto dropped = verifier_.dropLeaving(report)) {
    server_.onEarlierInstanceEnded(*dropped);
    leaving_notices_.add(*dropped);
  }
  publishRecord();
}

bool RouterProcess::useVerifiedServer(const ServerReport& report, VerificationGround ground,
                                      const HealthCheckResult* check) {
  if (applyReport(report, toString(ground)) == PresenceChange::None) {
    return false;
  }
  if (check != nullptr && check->condition) {
    gate_.onCondition(report.instance, clock_.now(), *check->condition);
    gate_.onNamedLimitKnown();
  } else {
    checkServerCondition();
  }
  return true;
}

void RouterProcess::verifyInstance(const ServerReport& report) {
  if (verifying_instance_) {
    return;
  }
  verifying_instance_ = true;
  server_client_.checkHealth(gate_.healthPath(), [this, report](const HealthCheckResult& check) {
    verifying_instance_ = false;
    log_.write("server", "instance-verified",
               {{"reported", report.instance.value},
                {"known", server_.instance().value},
                {"running", check.server.value},
                {"refused", check.refused ? "1" : "0"}});
    if (check.server == serverIdOf(report.instance)) {
      applyReport(report, "verified");
    } else if (!check.server.empty() && check.server == serverIdOf(server_.instance())) {
      server_.onEarlierInstanceEnded(report.instance);
    }
  });
}

void RouterProcess::logIgnoredReport(const char* event, const ServerReport& report) {
  if (report.instance == server_.instance() || !log_.mayWriteAttempt()) {
    return;
  }
  log_.write("server", event, {{"reported", report.instance.value}, {"known", server_.instance().value}});
}

PresenceChange RouterProcess::applyReport(const ServerReport& report, const char* cause) {
  const InstanceId previous = server_.instance();
  const PresenceChange change = server_.onReport(report);
  if (change == PresenceChange::None) {
    logIgnoredReport("report-rejected", report);
    return change;
  }
  if (change == PresenceChange::NewInstance) {
    log_.write("server", "up",
               {{"instance", report.instance.value},
                {"slots", std::to_string(report.slots)},
                {"cause", cause},
                {"replaces", previous.empty() ? "-" : previous.value}});
    if (ownership_manager_) {
      const InstanceEnd earlier = showsCrash(gate_.instance()) ? InstanceEnd::Certain : InstanceEnd::Suspected;
      ownership_manager_->serverUp(report.instance, earlier, clock_.now());
    }
  }
  gate_.serverUp(report.instance, report.slots);
  gate_.setCold(report.cold_remaining);
  if (change == PresenceChange::NewInstance && startedBeforeThisProcess(report)) {
    gate_.assumeStartLimitExhausted();
  }
  if (!verifier_.finished()) {
    verifier_.finish();
    checkServerCondition();
  }
  if (report.draining) {
    // An earlier process may have acknowledged the notice long ago.
    onServerDraining("reported", change == PresenceChange::NewInstance ? Duration::zero() : keyHandoverTime());
  } else if (leaving_notices_.contains(report.instance)) {
    onServerDraining("recorded", Duration::zero());
  }
  publishRecord();
  scheduleTick();
  return change;
}

bool RouterProcess::startedBeforeThisProcess(const ServerReport& report) const {
  const RoutedService* own = cluster_state_.routes() ? cluster_state_.routes()->service(settings_.service) : nullptr;
  const Duration age = own == nullptr ? Duration::zero() : own->cold_time - report.cold_remaining;
  return report.cold_remaining > Duration::zero() && age >= clock_.now() - started_at_;
}

}  // namespace shedlever
