#pragma once

/// @file
/// Options of the message streams between router processes.

#include "source/net/message_stream.h"
#include "source/net/router_codec.h"

namespace shedlever {

/// @return the options, the same for both ends of a stream.
inline MessageStreamOptions peerStreamOptions() {
  MessageStreamOptions options;
  options.preface = kRouterPreface;
  options.message_limit = 80U << 20U;
  options.unsent_limit = 96U << 20U;
  options.connect_timeout = std::chrono::milliseconds(800);
  options.dead_peer_limit = std::chrono::milliseconds(1500);
  return options;
}

}  // namespace shedlever
