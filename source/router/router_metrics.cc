#include "source/router/router_metrics.h"

#include <limits>
#include <utility>

#include "source/core/router/frame_name.h"
#include "source/net/metrics_text.h"

namespace shedlever {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kMillisecondsPerSecond = 1e3;

const prometheus::Histogram::BucketBoundaries kSecondsBoundaries = {0.005, 0.01, 0.025, 0.05, 0.1,
                                                                    0.2,   0.4,  0.8,   1.6,  3.2};

double secondsOf(Duration duration) { return static_cast<double>(duration.count()) / kMicrosecondsPerSecond; }

prometheus::Family<prometheus::Histogram>& histograms(prometheus::Registry& registry, const char* name,
                                                      const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

const char* outcomeLabel(ForwardOutcome outcome) {
  switch (outcome) {
    case ForwardOutcome::Answered:
      return "answered";
    case ForwardOutcome::NotRun:
      return "not-run";
    case ForwardOutcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

/// @return the outcome label for a status of the store.
const char* outcomeLabel(int status) {
  constexpr int kConflict = 409;
  constexpr int kFirstError = 400;
  if (status == 0) {
    return "no-answer";
  }
  if (status < kFirstError) {
    return "done";
  }
  return status == kConflict ? "conflict" : "refused";
}

}  // namespace

prometheus::Counter& RouterMetrics::CounterFamily::at(const std::string& key,
                                                      const std::function<prometheus::Labels()>& labels) {
  prometheus::Counter*& counter = by_key[key];
  if (counter == nullptr) {
    counter = &family.Add(labels());
  }
  return *counter;
}

prometheus::Counter& RouterMetrics::CounterFamily::at(const char* label, const std::string& value) {
  return at(value, [&] { return prometheus::Labels{{label, value}}; });
}

RouterMetrics::CounterFamily RouterMetrics::counters(const char* name, const char* help) {
  return {prometheus::BuildCounter().Name(name).Help(help).Register(registry_), {}};
}

prometheus::Gauge& RouterMetrics::gauge(const char* name, const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add({});
}

RouterMetrics::RouterMetrics()
    : requests_(counters("shedlever_requests_total", "Requests of clients by service, final outcome and last reason")),
      refused_at_once_(
          counters("shedlever_requests_refused_at_once_total", "Requests refused before they had a route, by reason")),
      retries_(counters("shedlever_retries_total", "Further attempts by the reason for them")),
      gate_refusals_(counters("shedlever_gate_refusals_total", "Requests that the gate did not begin, by reason")),
      server_requests_(counters("shedlever_server_requests_total",
                                "Requests sent to the server beside this process, by outcome and reason")),
      store_calls_(counters("shedlever_store_calls_total", "Calls to the metadata store by method and outcome")),
      events_(counters("shedlever_events_total", "Changes of what the process believes")),
      placement_moves_(counters("shedlever_placement_moves_total",
                                "Moves of keys planned for the service, begun here, or dropped here, by step")),
      grants_(counters("shedlever_grants_total", "Grant commands to the server beside this process, by result")),
      releases_(counters("shedlever_releases_total", "Release commands to the server beside this process, by result")),
      peer_sent_bytes_(prometheus::BuildCounter()
                           .Name("shedlever_peer_sent_bytes_total")
                           .Help("Bytes of frames sent to other nodes' processes, by kind of frame")
                           .Register(registry_)),
      request_seconds_(histograms(registry_, "shedlever_request_seconds",
                                  "Time from a request's arrival to its final answer, by route")),
      queued_(histograms(registry_, "shedlever_queue_seconds", "Time for which begun requests waited for a slot")
                  .Add({}, kSecondsBoundaries)),
      ran_(histograms(registry_, "shedlever_server_seconds", "Time that the server took for requests it answered")
               .Add({}, kSecondsBoundaries)),
      store_seconds_(histograms(registry_, "shedlever_store_call_seconds", "Time to the store's answer, watches apart")
                         .Add({}, kSecondsBoundaries)),
      grant_seconds_(
          histograms(registry_, "shedlever_grant_seconds", "Time to the answer or the timeout of grant commands")
              .Add({}, kSecondsBoundaries)),
      slots_(gauge("shedlever_server_slots", "Slots of the server that are used")),
      named_limit_(gauge("shedlever_server_named_limit",
                         "Requests per second that the server takes, as it names them; +Inf if it names no limit")),
      running_(gauge("shedlever_server_running", "Requests that run at the server")),
      waiting_(gauge("shedlever_server_waiting", "Requests that wait for a slot")),
      link_wait_(gauge("shedlever_link_wait_seconds", "How long large answers keep the machine's link busy")),
      link_bytes_under_way_(gauge("shedlever_link_bytes_under_way",
                                  "Bytes of large requests sent to nodes with limited links that have not arrived")),
      in_flight_(gauge("shedlever_requests_in_flight", "Requests of clients without their final answer")),
      nodes_(gauge("shedlever_nodes", "Nodes known")),
      peer_streams_(gauge("shedlever_peer_streams", "Streams to other nodes that are up")),
      arrival_delay_(gauge("shedlever_arrival_delay_seconds", "How late requests from other nodes arrive")),
      config_version_(gauge("shedlever_config_version", "Version of the configuration in force")),
      config_age_(gauge("shedlever_config_age_seconds", "Time since the configuration in force was taken over")),
      config_staleness_(gauge("shedlever_config_staleness_seconds",
                              "Time since the configuration that is known was the newest for sure")),
      nodes_staleness_(gauge("shedlever_nodes_staleness_seconds",
                             "Time since the node records that are known were the newest for sure")),
      owner_table_(gauge("shedlever_owner_table_revision", "Revision of the service's own owner table")),
      store_epoch_(gauge("shedlever_store_era", "Latest era of the store; rises when it comes back from a copy")),
      owned_ranges_(gauge("shedlever_owned_ranges", "Ranges of keys that the server beside this process owns")),
      acknowledgements_(
          gauge("shedlever_heartbeats_acknowledged", "Heartbeats acknowledged, of servers that take keys so")),
      keyless_acknowledgements_(gauge("shedlever_heartbeats_without_keys", "Of these, told nothing of keys")),
      released_(gauge("shedlever_ranges_released", "Ranges that the server said it has let go of")),
      lapsed_(gauge("shedlever_ranges_lapsed", "Ranges whose release ended since they had run out")),
      lease_left_(gauge("shedlever_lease_left_seconds", "What is left of the node's lease")),
      store_reached_(gauge("shedlever_store_reached", "1 while the last straight call to the store had an answer")),
      log_lines_dropped_(gauge("shedlever_log_lines_dropped", "Log lines left out since the start")),
      quarantined_(
          gauge("shedlever_quarantined_requests", "Requests kept from servers, since servers ended under them")),
      server_crashes_remembered_(gauge("shedlever_server_ends_remembered",
                                       "Ends of servers while at work that are remembered, of all nodes")) {
  prometheus::BuildGauge()
      .Name("shedlever_build_info")
      .Help("1; the labels name the build and the newest version of the frames that it speaks")
      .Register(registry_)
      .Add({{"version", SHEDLEVER_VERSION}, {"wire", std::to_string(kNewestWireVersion)}})
      .Set(1);
}

prometheus::Histogram& RouterMetrics::routeHistogram(const std::string& route) {
  prometheus::Histogram*& histogram = request_seconds_by_route_[route];
  if (histogram == nullptr) {
    histogram = &request_seconds_.Add({{"route", route}}, kSecondsBoundaries);
  }
  return *histogram;
}

void RouterMetrics::onRequest(const RequestEnd& end) {
  std::string key = end.service.value;
  key.append(1, ' ').append(end.outcome).append(1, ' ').append(toString(end.reason));
  const auto labels = [&end] {
    return prometheus::Labels{
        {"service", end.service.value}, {"outcome", std::string(end.outcome)}, {"reason", toString(end.reason)}};
  };
  requests_.at(key, labels).Increment();
  routeHistogram(end.route).Observe(secondsOf(end.elapsed));
}

void RouterMetrics::onRefusedAtOnce(Reason reason) {
  refused_at_once_.at("reason", std::string(toString(reason))).Increment();
}

void RouterMetrics::onRetry(ForwardReason reason) { retries_.at("reason", toString(reason)).Increment(); }

void RouterMetrics::onGateRefusal(ForwardReason reason) { gate_refusals_.at("reason", toString(reason)).Increment(); }

void RouterMetrics::onServerRequestEnd(ForwardOutcome outcome, ForwardReason reason, Duration queued, Duration ran) {
  const std::string key = std::string(outcomeLabel(outcome)) + " " + toString(reason);
  const auto labels = [=] {
    return prometheus::Labels{{"outcome", outcomeLabel(outcome)}, {"reason", toString(reason)}};
  };
  server_requests_.at(key, labels).Increment();
  queued_.Observe(secondsOf(queued));
  if (outcome == ForwardOutcome::Answered) {
    ran_.Observe(secondsOf(ran));
  }
}

void RouterMetrics::onStoreCall(const std::string& method, int status, Duration took) {
  const auto labels = [&] { return prometheus::Labels{{"method", method}, {"outcome", outcomeLabel(status)}}; };
  store_calls_.at(method + " " + outcomeLabel(status), labels).Increment();
  if (status != 0 && method != "watch") {
    store_seconds_.Observe(secondsOf(took));
  }
}

void RouterMetrics::onGrant(CommandStatus status, Duration took) {
  grants_.at("result", toString(status)).Increment();
  grant_seconds_.Observe(secondsOf(took));
}

void RouterMetrics::onRelease(CommandStatus status) { releases_.at("result", toString(status)).Increment(); }

void RouterMetrics::onEvent(const std::string& event) { events_.at("event", event).Increment(); }

void RouterMetrics::onPlacement(const PlacementEvent& event) {
  placement_moves_.at("step", toString(event.step)).Increment(static_cast<double>(event.moves));
}

void RouterMetrics::onFrameSent(const RouterFrame& frame, std::size_t bytes) {
  prometheus::Counter*& counter = peer_sent_bytes_by_kind_.at(frame.index());
  if (counter == nullptr) {
    counter = &peer_sent_bytes_.Add({{"frame", frameName(frame)}});
  }
  counter->Increment(static_cast<double>(bytes));
}

std::string RouterMetrics::text(const RouterGauges& gauges) {
  slots_.Set(gauges.load.slots);
  named_limit_.Set(gauges.named_limit.value_or(std::numeric_limits<double>::infinity()));
  running_.Set(gauges.load.running);
  waiting_.Set(gauges.load.queued);
  link_wait_.Set(gauges.load.link_busy_ms / kMillisecondsPerSecond);
  link_bytes_under_way_.Set(static_cast<double>(gauges.link_bytes_under_way));
  in_flight_.Set(static_cast<double>(gauges.in_flight));
  nodes_.Set(static_cast<double>(gauges.nodes));
  peer_streams_.Set(static_cast<double>(gauges.peer_streams));
  arrival_delay_.Set(secondsOf(gauges.arrival_delay));
  config_version_.Set(static_cast<double>(gauges.config_version));
  config_age_.Set(secondsOf(gauges.config_age));
  config_staleness_.Set(secondsOf(gauges.config_staleness));
  nodes_staleness_.Set(secondsOf(gauges.nodes_staleness));
  owner_table_.Set(static_cast<double>(gauges.owner_table_revision));
  store_epoch_.Set(static_cast<double>(gauges.store_epoch));
  owned_ranges_.Set(static_cast<double>(gauges.owned_ranges));
  acknowledgements_.Set(static_cast<double>(gauges.heartbeats.acknowledgements));
  keyless_acknowledgements_.Set(static_cast<double>(gauges.heartbeats.without_keys));
  released_.Set(static_cast<double>(gauges.heartbeats.released));
  lapsed_.Set(static_cast<double>(gauges.heartbeats.lapsed));
  lease_left_.Set(secondsOf(gauges.lease_left));
  store_reached_.Set(gauges.store_reached ? 1 : 0);
  log_lines_dropped_.Set(static_cast<double>(gauges.log_lines_dropped));
  quarantined_.Set(static_cast<double>(gauges.quarantined));
  server_crashes_remembered_.Set(static_cast<double>(gauges.server_crashes));
  return metricsText(registry_);
}

}  // namespace shedlever
