#pragma once

/// @file
/// Tells a server that has crashed from one that accepts no more connections but still runs.

#include <cstdint>

#include "shedlever/identifiers.h"
#include "shedlever/time.h"

namespace shedlever {

/// How a request that was sent to a server has ended.
enum class SentRequestEnd : std::uint8_t {
  Answered,
  ConnectionLost,
  NotReached,  ///< the server has not got it
  Abandoned,   ///< cancelled or timed out: the server may still run it
};

/// A crash breaks all requests that the server was running. A server that stops in order answers them, even if it has
/// closed its listening socket before.
class CrashEvidence {
 public:
  /// Begins with another instance; what is known of the one before is dropped.
  void onInstance(const InstanceId& instance);
  void onSent(const InstanceId& instance);
  void onEnded(const InstanceId& instance, SentRequestEnd end, TimePoint now);

  /// @return whether all requests at the instance have just lost their connections: none is left, none was answered
  ///   since, and none was abandoned since the last answer, as the server may still run that one. Counts only for an
  ///   instance that refuses connections, and some time after the first refusal, because the losses are noticed one by
  ///   one.
  bool lostAllRequests(const InstanceId& instance, TimePoint now) const;

 private:
  InstanceId instance_;
  std::uint32_t running_ = 0;
  /// Since the last answer, requests that lost their connections and requests that were abandoned.
  std::uint32_t lost_ = 0;
  std::uint32_t abandoned_ = 0;
  TimePoint last_loss_{};
};

}  // namespace shedlever
