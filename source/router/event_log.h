#pragma once

/// @file
/// Structured event log: one line of key=value fields per event.
///
/// Does not use glog, which issues a system call per line and blocks when the reader is slow.

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "source/net/event_loop.h"

namespace shedlever {

/// A key=value field. Values that are empty or contain a space, quote, equals sign or newline are quoted.
struct LogField {
  const char* key;
  std::string value;
};

/// Each line contains the wall-clock time (`at_ms`, comparable between machines) and the boot time (`t_us`, monotonic).
/// Lines are buffered and written from the event loop. The log never blocks: when the buffer is full, lines are dropped
/// and counted, and the count is logged. Lines about requests served in time, failed requests, attempts and key
/// commands have separate rate limits.
class EventLog {
 public:
  /// @param loop, clock outlive the log. @param file_descriptor is set to non-blocking mode.
  EventLog(EventLoop& loop, const Clock& clock, int file_descriptor);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Writes one line. Lines about single requests and key commands need one of the permissions below first.
  void write(const char* component, std::string_view event, std::initializer_list<LogField> fields);

  /// Rate limit for requests that were answered in time.
  /// @return whether a line may be written now. Otherwise the line counts as dropped.
  bool mayWriteServed();
  /// As `mayWriteServed`, for requests that were refused, failed or answered late.
  bool mayWriteFailed();
  /// As `mayWriteServed`, for attempts that did not end their request and for a gate's decisions.
  bool mayWriteAttempt();

  /// As `mayWriteServed`, for grant and release commands to the server.
  bool mayWriteCommand();

  /// @return number of lines dropped because of a rate limit or a full buffer.
  std::uint64_t droppedLines() const { return dropped_lines_; }

  /// Writes as much of the buffer as the file accepts without blocking.
  void flush();

 private:
  /// Token bucket.
  struct RateLimit {
    double per_second;
    double burst;
    double tokens;
    TimePoint last{};
  };

  bool takeToken(RateLimit& limit);
  void flushLater();

  EventLoop& loop_;
  const Clock& clock_;
  int file_descriptor_;
  std::string buffer_;
  bool flush_planned_ = false;
  std::uint64_t dropped_lines_ = 0;
  std::uint64_t reported_dropped_lines_ = 0;
  RateLimit served_;
  RateLimit failed_;
  RateLimit attempts_;
  RateLimit commands_;
  /// Set to false by the destructor, for callbacks that are still pending in the event loop.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
