#pragma once

/// @file
/// Tells a server that has crashed from one that accepts no more connections but still runs.

#include <cstdint>

#include "shedlever/identifiers.h"

namespace shedlever {

/// How a request that was sent to a server has ended.
enum class SentRequestEnd : std::uint8_t {
  Answered,
  ConnectionLost,
  NotReached,  ///< the server has not got it
  Abandoned,   ///< cancelled or timed out; says nothing about the server
};

/// A crash breaks all requests that the server was running. A server that stops in order answers them, even if it has
/// closed its listening socket before.
class CrashEvidence {
 public:
  /// Begins with another instance; what is known of the one before is dropped.
  void onInstance(const InstanceId& instance);
  void onSent(const InstanceId& instance);
  void onEnded(const InstanceId& instance, SentRequestEnd end);

  /// @return whether requests at the instance lost their connections, none is left, and none was answered since. Counts
  ///   only for an instance that refuses connections, and some time after the first refusal, because the losses are
  ///   noticed one by one.
  bool lostAllRequests(const InstanceId& instance) const;

 private:
  InstanceId instance_;
  std::uint32_t running_ = 0;
  /// Requests that lost their connections since the last answer.
  std::uint32_t lost_ = 0;
};

}  // namespace shedlever
