#pragma once

/// @file
/// Options of the message streams between router processes.

#include "source/net/message_stream.h"
#include "source/net/router_codec.h"

namespace shedlever {

/// @param version that the connecting side announces. The accepting side takes all versions that this build knows.
inline MessageStreamOptions peerStreamOptions(WireVersion version = kUnstatedWireVersion) {
  MessageStreamOptions options;
  options.preface = prefaceOf(version);
  for (WireVersion other = kOldestWireVersion; other <= kNewestWireVersion; ++other) {
    options.other_prefaces.push_back(prefaceOf(other));
  }
  options.max_message_bytes = 80U << 20U;
  options.max_unsent_bytes = 96U << 20U;
  options.connect_timeout = std::chrono::milliseconds(800);
  options.dead_peer_timeout = std::chrono::milliseconds(1500);
  return options;
}

}  // namespace shedlever
