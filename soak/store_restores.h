#pragma once

/// @file
/// Repeatedly interrupts the store and restores it from a backup of an earlier state.

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "source/net/event_loop.h"

namespace shedlever::soak {

/// Backups are one to six seconds old when they are restored; some are restored twice within a second.
class StoreRestores {
 public:
  struct Callbacks {
    /// Sends the body to the fault interface of the store.
    std::function<void(const std::string& body)> set_faults;
    /// Writes the newest configuration again, as operators do after a restore.
    std::function<void()> rewrite_config;
    /// Appends a line to the log of injected faults.
    std::function<void(const std::string& what)> log_fault;
  };

  StoreRestores(EventLoop& loop, std::uint64_t seed, Callbacks callbacks);
  ~StoreRestores() { *alive_ = false; }
  StoreRestores(const StoreRestores&) = delete;
  StoreRestores& operator=(const StoreRestores&) = delete;

  void start() { saveBackup(); }
  /// Starts no further backups or outages; an outage in progress still ends with a restore.
  void stop() { stopped_ = true; }
  /// @return the number of restores.
  std::size_t count() const { return count_; }

 private:
  void saveBackup();
  void startOutage();
  void restoreBackup(bool restore_twice);
  void runAfterRandomDelay(std::uint64_t min_ms, std::uint64_t max_ms, std::function<void()> step);

  EventLoop& loop_;
  std::mt19937_64 random_;
  Callbacks callbacks_;
  std::size_t count_ = 0;
  bool stopped_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever::soak
