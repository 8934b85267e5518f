/// @file
/// What a router process does about the local server: its reports, its condition, and its end.

#include <utility>

#include "source/core/router/duration_format.h"
#include "source/router/router_process.h"

namespace shedlever {

namespace {

constexpr int kNotFound = 404;
/// The losses of all requests at a crashed server are noticed within this time.
constexpr Duration kCrashCheckDelay = std::chrono::milliseconds(50);
/// A server expects an acknowledgement within a second. While the store is unavailable its notice is acknowledged
/// without a record: it is heeded all the same, and the server's health check tells it to a later process.
constexpr Duration kMaxNoticeWait = std::chrono::milliseconds(600);
/// A draining server gets no keyed requests after this fraction of the drain time.
constexpr int kKeysCloseNumerator = 2;
constexpr int kKeysCloseDenominator = 3;

}  // namespace

void RouterProcess::onUnreadable(const char* part, const std::string& what) {
  metrics_.onEvent("unreadable-entry");
  if (log_.mayWriteFailed()) {
    log_.write(part, "unreadable", {{"what", what}});
  }
}

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

void RouterProcess::setKeysLapsed(bool lapsed) {
  if (lapsed == keys_lapsed_) {
    return;
  }
  keys_lapsed_ = lapsed;
  log_.write("server", lapsed ? "keys-lapsed" : "reporting-again", {{"instance", server_.instance().value}});
  publishRecord();
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

ServerVerifier::Ports RouterProcess::verifierPorts() {
  ServerVerifier::Ports ports;
  ports.clock = &clock_;
  ports.log = &log_;
  ports.check_health = [this](ServerVerifier::HealthCallback done) {
    server_client_.checkHealth(gate_.healthPath(), std::move(done));
  };
  ports.can_check_health = [this] { return cluster_state_.routes() != nullptr && !gate_.healthPath().empty(); };
  ports.use = [this](const ServerReport& report, VerificationGround ground, const HealthCheckResult* check) {
    useVerifiedServer(report, ground, check);
  };
  return ports;
}

void RouterProcess::useVerifiedServer(const ServerReport& report, VerificationGround ground,
                                      const HealthCheckResult* check) {
  if (applyReport(report, toString(ground)) == PresenceChange::None) {
    return;
  }
  if (check != nullptr && check->condition) {
    gate_.onCondition(report.instance, clock_.now(), *check->condition);
    gate_.onNamedLimitKnown();
  } else {
    checkServerCondition();
  }
}

NodeRecordPublisher::Events RouterProcess::publisherEvents() {
  NodeRecordPublisher::Events events;
  events.on_no_previous_record = [this] { verifier_.onNoEarlierProcess(); };
  events.on_written = [this] { notice_acknowledgements_.sendDue(clock_.now()); };
  events.on_previous_record = [this](const std::optional<NodeRecord>& record) { onEarlierRecord(record); };
  return events;
}

void RouterProcess::onEarlierRecord(const std::optional<NodeRecord>& record) {
  if (record) {
    quarantine_.onRecord(*record, true);
    if (leaving_notices_.addAll(record->leaving_instances)) {
      publishRecord();
    }
    if (leaving_notices_.contains(server_.instance())) {
      onServerDraining("recorded", Duration::zero());
    }
  }
  verifier_.onEarlierRecord();
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

void RouterProcess::checkServerCondition() {
  gate_.assumeNamedLimitUnknown();
  // The gate reads the condition from the response. A response that names no limit shows that there is none.
  server_client_.checkHealth(gate_.healthPath(), [this, instance = server_.instance()](const HealthCheckResult& check) {
    if (instance == gate_.instance() && check.server == serverIdOf(instance)) {
      gate_.onNamedLimitKnown();
    } else if (!check.server.empty() && check.server != serverIdOf(instance)) {
      log_.write("server", "other-instance-answered", {{"asked", instance.value}, {"running", check.server.value}});
    }
  });
}

Duration RouterProcess::keyHandoverTime() const {
  return settings_.stop.drain * kKeysCloseNumerator / kKeysCloseDenominator;
}

void RouterProcess::onServerDraining(const char* cause, Duration keyed_requests_for) {
  if (!server_.startDraining()) {
    return;
  }
  log_.write("server", "draining", {{"instance", server_.instance().value}, {"cause", cause}});
  if (!server_.instance().empty()) {
    leaving_notices_.add(server_.instance());
  }
  gate_.startDraining();
  peer_server_->broadcastStopping(self_.name);
  if (ownership_manager_) {
    ownership_manager_->startDraining();
  }
  if (keyed_requests_for == Duration::zero()) {
    gate_.stopKeyedRequests();
  } else {
    runAfter(keyed_requests_for, [this, instance = server_.instance()] {
      if (instance == server_.instance() && server_.draining()) {
        gate_.stopKeyedRequests();
      }
    });
  }
  publishRecord();
  scheduleTick();
}

void RouterProcess::onServerGone(RefusedCall call) {
  const bool reports_keys = ownership_manager_ && settings_.ownership.grant_delivery == GrantDelivery::Heartbeat;
  if (server_.instance().empty()) {
    return;
  }
  if (!server_.refusalEndsUse(reports_keys)) {
    if (log_.mayWriteAttempt()) {
      log_.write("server", "refuses", {{"instance", server_.instance().value}, {"cause", toString(call)}});
    }
    return;
  }
  log_.write("server", "gone",
             {{"instance", server_.instance().value},
              {"cause", toString(call)},
              {"draining", server_.draining() ? "1" : "0"}});
  metrics_.onEvent("server-gone");
  const InstanceId gone = server_.instance();
  server_.onGone();
  gate_.serverEnded();
  if (ownership_manager_) {
    ownership_manager_->serverGone();
  }
  if (reports_keys) {
    runAfter(kCrashCheckDelay, [this, gone] { checkCrash(gone); });
  }
  publishRecord();
  scheduleTick();
}

bool RouterProcess::showsCrash(const InstanceId& instance) const {
  const bool by_heartbeat = settings_.ownership.grant_delivery == GrantDelivery::Heartbeat;
  return by_heartbeat && gate_.lostAllRequests(instance);
}

void RouterProcess::checkCrash(const InstanceId& gone) {
  if (!showsCrash(gone)) {
    return;
  }
  log_.write("server", "crashed", {{"instance", gone.value}});
  ownership_manager_->serverCrashed(gone);
  scheduleTick();
}

void RouterProcess::onServerSilence(bool silent) {
  server_.setSilent(silent);
  log_.write("server", silent ? "silent" : "answers-again", {{"instance", server_.instance().value}});
  publishRecord();
}

void RouterProcess::publishRecord() {
  NodeRecord record;
  record.node = settings_.node;
  record.incarnation = self_.incarnation;
  record.peer = settings_.peers_advertised;
  record.zone = settings_.zone;
  record.service = settings_.service;
  record.instance = server_.instance();
  record.slots = server_.slots();
  record.draining = server_.draining() || server_.silent() || keys_lapsed_ || leaving_;
  record.leaving_instances = leaving_notices_.instances();
  record.quarantined = quarantine_.requestsToRecord();
  record.wire_version = kNewestWireVersion;
  record.holds_quotas = true;
  directory_.update(record);
  publisher_.publish(record);
}

}  // namespace shedlever
