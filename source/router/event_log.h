#pragma once

/// @file
/// Structured logs on standard output: one line of key=value fields an event.
///
/// Not by glog: it writes each line with a system call of its own and blocks when the reader is slow; both cost
/// processor time that requests need.

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "source/net/event_loop.h"

namespace shedlever {

/// A field; values with blanks or quotes are quoted.
struct LogField {
  const char* key;
  std::string value;
};

/// Each line tells the time of day (`at_ms`, to compare machines) and the boot time (`t_us`, which never jumps).
/// Keeps lines in a buffer that is written in the background. Never blocks: when the buffer is full, lines are counted
/// instead of kept, and the count is logged. Lines about single requests have a rate limit of their own, with a reserve
/// for those that failed.
class EventLog {
 public:
  /// @param loop outlives the log.
  EventLog(EventLoop& loop, const Clock& clock, int file_descriptor);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Something that changes what the process believes, or its life.
  void write(const char* part, std::string_view event, std::initializer_list<LogField> fields);

  /// A request that was served as it should be; few lines a second are kept.
  /// @return whether a line would be kept now; the caller makes its fields only then.
  bool mayWriteServed();
  /// A request that was refused, failed or came late; most are kept.
  bool mayWriteFailed();
  /// An attempt that did not end its request, or what a gate made of one.
  bool mayWriteAttempt();

  /// Lines that were not kept.
  std::uint64_t droppedLines() const { return dropped_lines_; }

  /// Writes what the file takes at once.
  void flush();

 private:
  /// Tokens that come back with time.
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
  /// Set to false by the destructor, for what the loop still holds.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
