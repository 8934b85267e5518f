#pragma once

/// @file
/// Paces large messages to the rate of the machine's network link. They are written in pieces, so that small messages
/// don't wait behind them.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>

#include "source/core/router/admission/link_budget.h"
#include "source/net/event_loop.h"

namespace shedlever {

/// Identifies a paced message. 0 is not a message.
using TransferId = std::uint64_t;

class LinkPacer {
 public:
  /// Writes at most `max_bytes` bytes of the message.
  /// @return the number of bytes written. Fewer than `max_bytes` when nothing is left to write or the message has no
  ///   reader any more.
  using Writer = std::function<std::size_t(std::size_t max_bytes)>;

  /// @param loop, clock must outlive the pacer.
  LinkPacer(EventLoop& loop, const Clock& clock, const LinkConfig& config);
  ~LinkPacer();
  LinkPacer(const LinkPacer&) = delete;
  LinkPacer& operator=(const LinkPacer&) = delete;

  /// Accounts for a message that was written without pacing.
  void recordSent(std::size_t bytes);

  /// Writes a message in pieces, after all messages started before. The first piece may be written inside the call.
  TransferId start(std::size_t bytes, Writer write);

  /// Drops the rest of the message.
  void cancel(TransferId transfer);

  /// @return the number of bytes of paced messages that are not written yet.
  std::size_t backlogBytes() const { return backlog_bytes_; }

  bool isLimited() const { return budget_.isLimited(); }

  /// @return bandwidth of the link in kilobytes per second; 0 if it is not limited.
  std::uint32_t kilobytesPerSecond() const;

  /// @return how long the link takes to send the backlog and `more_bytes` bytes.
  Duration transmissionTime(double more_bytes) const {
    return budget_.transmissionTime(static_cast<double>(backlog_bytes_) + more_bytes);
  }

 private:
  struct Transfer {
    TransferId id = 0;
    std::size_t remaining_bytes = 0;
    Writer write;
  };

  void run();
  std::size_t pieceBytes() const;

  EventLoop& loop_;
  const Clock& clock_;
  LinkConfig config_;
  LinkBudget budget_;
  std::list<Transfer> transfers_;
  std::size_t backlog_bytes_ = 0;
  TransferId last_id_ = 0;
  TimerId timer_ = 0;
  bool running_ = false;
};

}  // namespace shedlever
