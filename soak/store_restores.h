#pragma once

/// @file
/// A store that is away for a moment, again and again, and comes back from a copy of an earlier state.

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "source/net/event_loop.h"

namespace shedlever::soak {

/// Copies are one to six seconds old when the store goes back to them; some are gone back to twice within a second.
class StoreRestores {
 public:
  struct Callbacks {
    /// Sets the store's faults.
    std::function<void(const std::string& body)> set_faults;
    /// Operators write the newest configuration again.
    std::function<void()> rewrite_config;
    /// For the list of faults.
    std::function<void(const std::string& what)> log_fault;
  };

  StoreRestores(EventLoop& loop, std::uint64_t seed, Callbacks callbacks);
  ~StoreRestores() { *alive_ = false; }
  StoreRestores(const StoreRestores&) = delete;
  StoreRestores& operator=(const StoreRestores&) = delete;

  void start() { saveBackup(); }
  /// Nothing is begun any more.
  void stop() { stopped_ = true; }
  /// @return how often the store has come back.
  std::size_t count() const { return count_; }

 private:
  void saveBackup();
  void startOutage();
  void restoreBackup(bool once_more);
  void runAfterRandomDelay(std::uint64_t least_ms, std::uint64_t most_ms, std::function<void()> step);

  EventLoop& loop_;
  std::mt19937_64 random_;
  Callbacks callbacks_;
  std::size_t count_ = 0;
  bool stopped_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever::soak
