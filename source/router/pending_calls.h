#pragma once

/// @file
/// Calls to peers that wait for their answers, each until its timeout.

#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>

#include "shedlever/router_frames.h"
#include "source/net/event_loop.h"

namespace shedlever {

/// Runs the callback of a call at most once: with the answer, or without one after the timeout.
template <class Answer>
class PendingCalls {
 public:
  /// Receives the answer; none if it did not arrive within the timeout.
  using Callback = std::function<void(std::optional<Answer>)>;

  /// @param loop must outlive the calls.
  explicit PendingCalls(EventLoop& loop) : loop_(loop) {}
  /// Drops the calls without running their callbacks.
  ~PendingCalls() {
    for (const auto& [exchange, call] : calls_) {
      loop_.cancel(call.timer);
    }
  }
  PendingCalls(const PendingCalls&) = delete;
  PendingCalls& operator=(const PendingCalls&) = delete;

  /// @param done runs once, from the loop or inside `finish`.
  void add(ExchangeId exchange, Duration timeout, Callback done) {
    Call& call = calls_[exchange];
    call.done = std::move(done);
    call.timer = loop_.runAfter(timeout, [this, exchange] {
      auto ended = calls_.extract(exchange);
      ended.mapped().done(std::nullopt);
    });
  }

  /// Ends the call with an answer, or without one if there will be none. Calls that have ended are ignored.
  void finish(ExchangeId exchange, std::optional<Answer> answer) {
    auto ended = calls_.extract(exchange);
    if (!ended.empty()) {
      loop_.cancel(ended.mapped().timer);
      ended.mapped().done(std::move(answer));
    }
  }

 private:
  struct Call {
    Callback done;
    TimerId timer = 0;
  };

  EventLoop& loop_;
  std::unordered_map<ExchangeId, Call> calls_;
};

}  // namespace shedlever
