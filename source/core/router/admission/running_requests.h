#pragma once

/// @file
/// Requests that run at a server, and what their ages say about its speed.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "shedlever/time.h"
#include "source/core/router/admission/queue_class_loads.h"

namespace shedlever {

/// Identifies a request within one queue.
using QueueTicket = std::uint64_t;

/// The requests that occupy the slots of one server.
class RunningRequests {
 public:
  void onStart(QueueTicket ticket, const QueueClass& queue_class, TimePoint now);

  /// @return class of the request; std::nullopt if it does not run.
  std::optional<QueueClass> onEnd(QueueTicket ticket);

  std::size_t size() const { return running_.size(); }

  /// Detects a server that becomes slower by requests that run longer than usual, before the first of them ends.
  /// @return factor of at least 1 by which service times have grown beyond the measured ones.
  double slowdown(const QueueClassLoads& loads, TimePoint now) const;

 private:
  struct Running {
    QueueClass queue_class;
    TimePoint started{};
  };

  std::unordered_map<QueueTicket, Running> running_;
};

}  // namespace shedlever
