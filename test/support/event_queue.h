#pragma once

/// @file
/// A queue of events that a test runs in the order of its choice.

#include <functional>
#include <vector>

namespace shedlever::test {

class EventQueue {
 public:
  void post(std::function<void()> event) { events_.push_back(std::move(event)); }

  bool empty() const { return events_.empty(); }
  std::size_t size() const { return events_.size(); }

  /// Removes one event and runs it.
  /// @param index in the order of posting, less than `size()`.
  void run(std::size_t index) {
    const std::function<void()> event = std::move(events_.at(index));
    events_.erase(events_.begin() + static_cast<std::ptrdiff_t>(index));
    event();
  }

  /// Runs all events in the order of posting, including those that are posted meanwhile.
  void runAll() {
    while (!empty()) {
      run(0);
    }
  }

 private:
  std::vector<std::function<void()>> events_;
};

}  // namespace shedlever::test
