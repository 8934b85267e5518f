#include "source/lab/load/load_runner.h"

#include <strings.h>

#include <algorithm>
#include <string>
#include <utility>

#include "shedlever/outcome.h"

namespace shedlever::load {

namespace {

/// Makes the random stream of the arrival times independent of that of the requests.
constexpr std::uint64_t kScheduleSeed = 0x5ced;
constexpr int kHttpOk = 200;

std::string headerOf(const HttpResponse& response, const char* name) {
  for (const HttpHeader& header : response.headers) {
    if (strcasecmp(header.name.c_str(), name) == 0) {
      return header.value;
    }
  }
  return "";
}

std::string inMilliseconds(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

LoadRunner::LoadRunner(EventLoop& loop, const Clock& clock, LoadConfig config)
    : loop_(loop),
      clock_(clock),
      config_(std::move(config)),
      schedule_(config_.rate, config_.seed ^ kScheduleSeed),
      generator_(config_) {
  for (const Endpoint& gateway : config_.gateways) {
    HttpClientConfig client;
    client.server = gateway;
    // Requests of an open-loop load must not wait for a connection.
    client.max_connections = config_.in_flight_limit;
    clients_.push_back(std::make_unique<HttpClient>(loop_, client));
  }
}

LoadRunner::~LoadRunner() { loop_.cancel(timer_); }

void LoadRunner::start() {
  begin_ = clock_.now();
  next_due_ = schedule_.next();
  scheduleNext();
}

void LoadRunner::stopSending() {
  loop_.cancel(timer_);
  timer_ = 0;
  sending_stopped_ = true;
}

void LoadRunner::scheduleNext() {
  if (next_due_ >= config_.duration) {
    stopSending();
    return;
  }
  const Duration wait = std::max(next_due_ - sinceStart(), Duration::zero());
  timer_ = loop_.runAfter(wait, [this] {
    timer_ = 0;
    sendDue();
  });
}

void LoadRunner::sendDue() {
  const Duration now = sinceStart();
  while (next_due_ <= now && next_due_ < config_.duration) {
    send(generator_.next(), next_due_);
    next_due_ = schedule_.next();
  }
  scheduleNext();
}

HttpRequest LoadRunner::toHttpRequest(const PlannedRequest& planned) const {
  HttpRequest http;
  http.method = "POST";
  http.target = planned.target;
  http.body = planned.body;
  http.headers = {{"Authorization", "Bearer " + config_.tenants[planned.tenant].credential},
                  {"Shedlever-Deadline", inMilliseconds(config_.deadline)}};
  if (!planned.idempotency_key.empty()) {
    http.headers.push_back({"Idempotency-Key", planned.idempotency_key.value});
  }
  return http;
}

void LoadRunner::send(PlannedRequest planned, Duration due) {
  ++due_count_;
  RequestRecord record;
  record.sequence = planned.sequence;
  record.service = planned.service;
  record.tenant = planned.tenant;
  record.gateway = planned.gateway;
  record.key = planned.key;
  record.idempotency_key = planned.idempotency_key;
  record.due = due;
  record.sent = sinceStart();
  if (in_flight_ >= config_.in_flight_limit) {
    record.outcome = CallerOutcome::NotSent;
    record.reason = "in-flight-limit";
    record.ended = record.sent;
    records_.push_back(std::move(record));
    return;
  }
  ++in_flight_;
  HttpRequest http = toHttpRequest(planned);
  HttpClient& client = *clients_[planned.gateway];
  client.send(std::move(http), config_.deadline + config_.reply_grace,
              [this, planned = std::move(planned), record](const HttpExchangeResult& exchange) {
                onExchangeEnd(planned, record, exchange);
              });
}

void LoadRunner::onExchangeEnd(const PlannedRequest& planned, RequestRecord record,
                               const HttpExchangeResult& exchange) {
  --in_flight_;
  record.ended = sinceStart();
  switch (exchange.status) {
    case HttpExchangeStatus::Complete:
      readReply(planned, exchange.response, record);
      break;
    case HttpExchangeStatus::NotSent:
      record.outcome = CallerOutcome::NotSent;
      record.reason = "no-connection";
      break;
    case HttpExchangeStatus::ConnectionLost:
      record.reason = "connection-lost";
      break;
    case HttpExchangeStatus::Malformed:
      record.reason = "malformed";
      break;
    case HttpExchangeStatus::TimedOut:
      record.reason = "timed-out";
      break;
    case HttpExchangeStatus::Cancelled:
      record.reason = "cancelled";
      break;
  }
  answered_count_ += record.outcome == CallerOutcome::Answered ? 1 : 0;
  records_.push_back(std::move(record));
}

void LoadRunner::readReply(const PlannedRequest& planned, const HttpResponse& response, RequestRecord& record) {
  const std::string outcome = headerOf(response, "Shedlever-Outcome");
  record.reason = headerOf(response, "Shedlever-Reason");
  record.id = RequestId(headerOf(response, "Shedlever-Request-Id"));
  record.http_status = response.status;
  checker_.addRequest(record.id, planned);
  if (outcome == toString(Outcome::NotRun)) {
    record.outcome = CallerOutcome::NotRun;
  } else if (outcome == toString(Outcome::Unknown)) {
    record.outcome = CallerOutcome::Unknown;
  } else if (outcome == toString(Outcome::Answered)) {
    record.outcome = CallerOutcome::Answered;
    // The stand-in server responds with 200 to every request that runs.
    const bool ok = response.status == kHttpOk;
    record.fault = ok ? checker_.check(planned, record.id, response.body) : ResponseFault::Wrong;
  } else {
    record.reason = "no-outcome";
    record.fault = ResponseFault::Wrong;
  }
}

LoadProgress LoadRunner::progress() const { return {due_count_, records_.size(), answered_count_, sinceStart()}; }

}  // namespace shedlever::load
