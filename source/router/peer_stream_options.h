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
  options.max_message_bytes = 80U << 20U;
  options.max_unsent_bytes = 96U << 20U;
  options.connect_timeout = std::chrono::milliseconds(800);
  options.dead_peer_timeout = std::chrono::milliseconds(1500);
  return options;
}

}  // namespace shedlever
