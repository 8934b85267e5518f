/// @file
/// What a router process does about the local server: its condition, its draining, its end, and the node's record.

#include <utility>

#include "source/core/router/duration_format.h"
#include "source/router/router_process.h"

namespace shedlever {

namespace {

/// The losses of all requests at a crashed server are noticed within this time.
constexpr Duration kCrashCheckDelay = std::chrono::milliseconds(50);
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

void RouterProcess::setKeysLapsed(bool lapsed) {
  if (lapsed == keys_lapsed_) {
    return;
  }
  keys_lapsed_ = lapsed;
  log_.write("server", lapsed ? "keys-lapsed" : "reporting-again", {{"instance", server_.instance().value}});
  publishRecord();
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
