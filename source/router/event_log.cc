#include "source/router/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>

#include "source/net/system_clock_and_random.h"

namespace shedlever {

namespace {

constexpr std::size_t kBufferLimitBytes = 256U << 10U;
constexpr Duration kFlushDelay = std::chrono::milliseconds(100);
constexpr double kServedPerSecond = 5.0;
constexpr double kFailedPerSecond = 100.0;
constexpr double kAttemptsPerSecond = 50.0;
constexpr double kCommandsPerSecond = 50.0;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr std::uint64_t kMicrosecondsPerMillisecond = 1000;

bool needsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \"=\n") != std::string_view::npos;
}

void appendValue(std::string& line, std::string_view value) {
  if (!needsQuotes(value)) {
    line += value;
    return;
  }
  line += '"';
  for (const char character : value) {
    if (character == '"' || character == '\\') {
      line += '\\';
    }
    line += character == '\n' ? ' ' : character;
  }
  line += '"';
}

}  // namespace

EventLog::EventLog(EventLoop& loop, const Clock& clock, int file_descriptor)
    : loop_(loop),
      clock_(clock),
      file_descriptor_(file_descriptor),
      served_{kServedPerSecond, kServedPerSecond, kServedPerSecond, {}},
      failed_{kFailedPerSecond, kFailedPerSecond, kFailedPerSecond, {}},
      attempts_{kAttemptsPerSecond, kAttemptsPerSecond, kAttemptsPerSecond, {}},
      commands_{kCommandsPerSecond, kCommandsPerSecond, kCommandsPerSecond, {}} {
  fcntl(file_descriptor_, F_SETFL, fcntl(file_descriptor_, F_GETFL) | O_NONBLOCK);
}

EventLog::~EventLog() {
  *alive_ = false;
  flush();
}

bool EventLog::takeToken(RateLimit& limit) {
  const TimePoint now = clock_.now();
  const double elapsed = static_cast<double>((now - limit.last).count()) / kMicrosecondsPerSecond;
  limit.last = now;
  limit.tokens = std::min(limit.burst, limit.tokens + elapsed * limit.per_second);
  if (limit.tokens < 1.0) {
    ++dropped_lines_;
    return false;
  }
  limit.tokens -= 1.0;
  return true;
}

bool EventLog::mayWriteServed() { return takeToken(served_); }

bool EventLog::mayWriteFailed() { return takeToken(failed_); }

bool EventLog::mayWriteAttempt() { return takeToken(attempts_); }

bool EventLog::mayWriteCommand() { return takeToken(commands_); }

void EventLog::write(const char* component, std::string_view event, std::initializer_list<LogField> fields) {
  if (buffer_.size() > kBufferLimitBytes) {
    ++dropped_lines_;
    return;
  }
  buffer_.append(component).append(": event=");
  appendValue(buffer_, event);
  buffer_.append(" at_ms=").append(std::to_string(wallClockMicroseconds() / kMicrosecondsPerMillisecond));
  buffer_.append(" t_us=").append(std::to_string(clock_.now().time_since_epoch().count()));
  for (const LogField& field : fields) {
    buffer_.append(" ").append(field.key).append("=");
    appendValue(buffer_, field.value);
  }
  buffer_ += '\n';
  flushLater();
}

void EventLog::flushLater() {
  if (flush_planned_) {
    return;
  }
  flush_planned_ = true;
  loop_.runAfter(kFlushDelay, [this, alive = alive_] {
    if (!*alive) {
      return;
    }
    flush_planned_ = false;
    if (dropped_lines_ > reported_dropped_lines_) {
      reported_dropped_lines_ = dropped_lines_;
      buffer_.append("log: event=suppressed total=").append(std::to_string(dropped_lines_)).append("\n");
    }
    flush();
    if (!buffer_.empty()) {
      flushLater();
    }
  });
}

void EventLog::flush() {
  while (!buffer_.empty()) {
    const ssize_t written = ::write(file_descriptor_, buffer_.data(), buffer_.size());
    if (written <= 0) {
      return;
    }
    buffer_.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace shedlever
