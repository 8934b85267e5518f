#pragma once

/// @file
/// Requests that wait at the gate for their key, which is being transferred or not granted yet.

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "source/core/router/admission/key_wait_estimator.h"
#include "source/core/router/admission/running_requests.h"

namespace shedlever {

/// Receives the reply to a forwarded request, whether from the local gate or from a peer.
using ForwardCallback = std::function<void(ForwardReplyFrame)>;

/// Holds a request only if its key is expected in time, by how long earlier keys took.
class HeldRequests {
 public:
  /// @param clock outlives the object.
  explicit HeldRequests(const Clock& clock) : clock_(clock) {}

  /// Takes the frame and the callback if the request is held.
  /// @param range first key of the range that the key belongs to. @param max_wait how long the request may be held.
  /// @return std::nullopt if the request is held; how long its key is expected to take if that is too long.
  std::optional<Duration> hold(QueueTicket ticket, ForwardFrame& frame, ForwardCallback& done, Key range,
                               Duration max_wait);

  /// The client disconnected or the deadline has passed. Other tickets are ignored.
  void cancel(QueueTicket ticket) { held_.erase(ticket); }

  /// @return why a request with this deadline must not be started now; NotYetOwner while its key is in transit.
  using ReasonCheck = std::function<ForwardReason(const ForwardFrame& frame, TimePoint deadline)>;
  /// Receives a request that is held no longer.
  /// @param frame with its remaining and its elapsed time updated if it may be started.
  /// @param reason None if the request may be started.
  using ReleaseCallback =
      std::function<void(QueueTicket ticket, ForwardFrame frame, ForwardCallback done, ForwardReason reason)>;

  /// Releases the requests whose key is no longer in transit, and those that have been held for too long.
  /// The callbacks may hold and cancel requests.
  void release(const ReasonCheck& reason_of, const ReleaseCallback& released);

  /// Records how long the keys that have arrived took to do so.
  /// @param is_waiting whether the range that begins at `first` is still in transit.
  void updateWaits(const std::function<bool(Key first)>& is_waiting) { waits_.update(is_waiting, clock_.now()); }

  bool empty() const { return held_.empty(); }

 private:
  struct Held {
    ForwardFrame frame;
    ForwardCallback done;
    /// When the request is released even if its key has not arrived.
    TimePoint until{};
    /// Deadline of the request.
    TimePoint deadline{};
  };

  void releaseOne(QueueTicket ticket, const ReasonCheck& reason_of, const ReleaseCallback& released);

  const Clock& clock_;
  KeyWaitEstimator waits_;
  std::map<QueueTicket, Held> held_;
};

}  // namespace shedlever
