#include "source/router/router_metrics.h"

#include "source/net/metrics_text.h"

namespace shedlever {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

const prometheus::Histogram::BucketBoundaries kHeldBoundaries = {0.005, 0.01, 0.025, 0.05, 0.1,
                                                                 0.2,   0.4,  0.8,   1.6,  3.2};

}  // namespace

RouterMetrics::RouterMetrics()
    : requests_(prometheus::BuildCounter()
                    .Name("shedlever_requests_total")
                    .Help("Requests of clients by their final outcome")
                    .Register(registry_)),
      retries_(prometheus::BuildCounter()
                   .Name("shedlever_retries_total")
                   .Help("Further attempts by the reason for them")
                   .Register(registry_)),
      events_(prometheus::BuildCounter()
                  .Name("shedlever_events_total")
                  .Help("Changes of what the process believes")
                  .Register(registry_)),
      held_(prometheus::BuildHistogram()
                .Name("shedlever_request_seconds")
                .Help("Time from a request's arrival to its final answer")
                .Register(registry_)
                .Add({}, kHeldBoundaries)) {}

void RouterMetrics::onRequest(const std::string& outcome, Duration held) {
  counterOf(request_counters_, requests_, "outcome", outcome).Increment();
  held_.Observe(static_cast<double>(held.count()) / kMicrosecondsPerSecond);
}

void RouterMetrics::onRetry(ForwardReason reason) {
  counterOf(retry_counters_, retries_, "reason", toString(reason)).Increment();
}

void RouterMetrics::onEvent(const std::string& event) {
  counterOf(event_counters_, events_, "event", event).Increment();
}

prometheus::Counter& RouterMetrics::counterOf(Counters& counters, prometheus::Family<prometheus::Counter>& family,
                                              const char* label, const std::string& value) {
  prometheus::Counter*& counter = counters[value];
  if (counter == nullptr) {
    counter = &family.Add({{label, value}});
  }
  return *counter;
}

std::string RouterMetrics::text() const { return metricsText(registry_); }

}  // namespace shedlever
