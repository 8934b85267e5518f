#include "source/net/event_loop.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace shedlever {

namespace {

timeval toTimeval(Duration duration) {
  const Duration positive = std::max(duration, Duration::zero());
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(positive);
  timeval value{};
  value.tv_sec = seconds.count();
  value.tv_usec = (positive - seconds).count();
  return value;
}

EventBaseHandle newBase() {
  event_config* config = event_config_new();
  // Without this flag libevent uses a coarse clock and the millisecond timeouts of epoll.
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  if (base == nullptr) {
    throw std::runtime_error("event_base_new_with_config failed");
  }
  return EventBaseHandle(base);
}

}  // namespace

struct EventLoop::Timer {
  EventLoop* loop = nullptr;
  TimerId id = 0;
  std::function<void()> callback;
  EventHandle event;
};

struct EventLoop::Signal {
  std::function<void()> callback;
  EventHandle event;
};

EventLoop::EventLoop() : base_(newBase()) {
  const auto run_posted = [](evutil_socket_t, short, void* loop) { static_cast<EventLoop*>(loop)->runPosted(); };
  post_event_.reset(event_new(base_.get(), -1, 0, run_posted, this));
}

EventLoop::~EventLoop() = default;

void EventLoop::run() { event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY); }

void EventLoop::stop() { event_base_loopbreak(base_.get()); }

bool EventLoop::runUntil(const std::function<bool()>& done, Duration timeout) {
  bool timed_out = false;
  const TimerId timer = runAfter(timeout, [&timed_out] { timed_out = true; });
  bool is_done = done();
  while (!is_done && !timed_out) {
    event_base_loop(base_.get(), EVLOOP_ONCE);
    is_done = done();
  }
  cancel(timer);
  return is_done;
}

TimerId EventLoop::runAfter(Duration delay, std::function<void()> callback) {
  const TimerId id = ++last_timer_;
  auto timer = std::make_unique<Timer>();
  timer->loop = this;
  timer->id = id;
  timer->callback = std::move(callback);
  const auto fired = [](evutil_socket_t, short, void* argument) {
    auto* expired = static_cast<Timer*>(argument);
    const std::function<void()> expired_callback = std::move(expired->callback);
    expired->loop->timers_.erase(expired->id);
    expired_callback();
  };
  timer->event.reset(event_new(base_.get(), -1, EV_TIMEOUT, fired, timer.get()));
  const timeval value = toTimeval(delay);
  event_add(timer->event.get(), &value);
  timers_.emplace(id, std::move(timer));
  return id;
}

void EventLoop::cancel(TimerId timer) { timers_.erase(timer); }

void EventLoop::post(std::function<void()> callback) {
  posted_.push_back(std::move(callback));
  event_active(post_event_.get(), EV_TIMEOUT, 1);
}

void EventLoop::runPosted() {
  // Callbacks posted by these run in the next iteration, so that other events are handled in between.
  const std::vector<std::function<void()>> batch = std::exchange(posted_, {});
  for (const std::function<void()>& callback : batch) {
    callback();
  }
}

void EventLoop::onSignal(int signal_number, std::function<void()> callback) {
  auto signal = std::make_unique<Signal>();
  signal->callback = std::move(callback);
  const auto arrived = [](evutil_socket_t, short, void* argument) { static_cast<Signal*>(argument)->callback(); };
  signal->event.reset(evsignal_new(base_.get(), signal_number, arrived, signal.get()));
  event_add(signal->event.get(), nullptr);
  signals_[signal_number] = std::move(signal);
}

}  // namespace shedlever
