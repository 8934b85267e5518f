#pragma once

/// @file
/// Sends an open-loop load to gateways over HTTP.

#include <functional>
#include <memory>
#include <vector>

#include "source/lab/load/load_config.h"
#include "source/lab/load/open_loop_schedule.h"
#include "source/lab/load/request_generator.h"
#include "source/lab/load/request_record.h"
#include "source/lab/load/response_checker.h"
#include "source/net/event_loop.h"
#include "source/net/http_client.h"

namespace shedlever::load {

/// Progress of a running load.
struct LoadProgress {
  std::uint64_t due = 0;
  std::uint64_t ended = 0;
  std::uint64_t answered = 0;
  Duration since_start = Duration::zero();
};

class LoadRunner {
 public:
  /// @param loop, clock must outlive the runner.
  LoadRunner(EventLoop& loop, const Clock& clock, LoadConfig config);
  ~LoadRunner();
  LoadRunner(const LoadRunner&) = delete;
  LoadRunner& operator=(const LoadRunner&) = delete;

  /// Schedules the first request; the load proceeds while the loop runs.
  void start();

  /// Sends no more requests; requests in flight still complete.
  void stopSending();

  /// @return whether sending has stopped and no request is in flight.
  bool done() const { return sending_stopped_ && in_flight_ == 0; }

  LoadProgress progress() const;

  /// Records of finished requests in the order in which they ended.
  const std::vector<RequestRecord>& records() const { return records_; }

  const LoadConfig& config() const { return config_; }

 private:
  void scheduleNext();
  void sendDue();
  void send(PlannedRequest planned, Duration due);
  HttpRequest toHttpRequest(const PlannedRequest& planned) const;
  void onExchangeEnd(const PlannedRequest& planned, RequestRecord record, const HttpExchangeResult& exchange);
  void readReply(const PlannedRequest& planned, const HttpResponse& response, RequestRecord& record);
  Duration sinceStart() const { return clock_.now() - begin_; }

  EventLoop& loop_;
  const Clock& clock_;
  LoadConfig config_;
  OpenLoopSchedule schedule_;
  RequestGenerator generator_;
  ResponseChecker checker_;
  /// One for each gateway.
  std::vector<std::unique_ptr<HttpClient>> clients_;
  std::vector<RequestRecord> records_;
  TimePoint begin_;
  Duration next_due_ = Duration::zero();
  TimerId timer_ = 0;
  bool sending_stopped_ = false;
  std::uint64_t due_count_ = 0;
  std::uint64_t answered_count_ = 0;
  std::uint32_t in_flight_ = 0;
};

}  // namespace shedlever::load
