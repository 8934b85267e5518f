#pragma once

/// @file
/// Shares a machine's link between large and small messages: large ones are written piece by piece at the link's own
/// pace, so that small ones never wait behind them.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>

#include "source/core/router/link_budget.h"
#include "source/net/event_loop.h"

namespace shedlever {

/// Messages of at least so many bytes are paced.
inline constexpr std::size_t kMinPacedMessageBytes = 24U << 10U;

/// Names a paced message; 0 names none.
using TransferId = std::uint64_t;

class LinkPacer {
 public:
  /// Writes at most `most` bytes of the message.
  /// @return how many; fewer than `most` when nothing is left to write, or nobody reads it any more.
  using Writer = std::function<std::size_t(std::size_t most)>;

  /// @param loop, clock outlive the pacer.
  LinkPacer(EventLoop& loop, const Clock& clock, const LinkConfig& config);
  ~LinkPacer();
  LinkPacer(const LinkPacer&) = delete;
  LinkPacer& operator=(const LinkPacer&) = delete;

  /// A small message was written.
  void recordSent(std::size_t bytes);

  /// Writes a message in pieces, after those that were started before it. The first piece may be written inside the
  /// call.
  TransferId start(std::size_t bytes, Writer write);

  /// The rest of the message is not wanted any more.
  void cancel(TransferId transfer);

  /// @return bytes of paced messages that are not written yet.
  std::size_t backlogBytes() const { return backlog_bytes_; }

  bool isLimited() const { return budget_.isLimited(); }

  /// @return how long the link takes for the backlog and so many bytes more.
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
  std::size_t pieceSize() const;

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
