#pragma once

/// @file
/// Drives real gateways with an open-loop load.

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

/// Counts while a load runs.
struct LoadProgress {
  std::uint64_t due = 0;
  std::uint64_t ended = 0;
  std::uint64_t answered = 0;
  Duration since_start = Duration::zero();
};

class LoadRunner {
 public:
  /// @param loop, clock outlive the runner.
  LoadRunner(EventLoop& loop, const Clock& clock, LoadConfig config);
  ~LoadRunner();
  LoadRunner(const LoadRunner&) = delete;
  LoadRunner& operator=(const LoadRunner&) = delete;

  /// Begins; the load then runs as the loop does.
  void start();

  /// Makes no more requests; those under way are still waited for.
  void stopSending();

  /// @return whether the time is over and no request is under way.
  bool done() const { return sending_stopped_ && in_flight_ == 0; }

  LoadProgress progress() const;

  /// Records of the requests that have ended, in that order.
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
