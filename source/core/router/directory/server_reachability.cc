#include "source/core/router/directory/server_reachability.h"

#include <utility>

namespace shedlever {

namespace {

constexpr unsigned kFailedConnectionsUntilSilent = 2;

}  // namespace

void ServerReachability::reset() {
  silent_ = false;
  failed_connections_ = 0;
}

bool ServerReachability::onConnectionFailed() {
  ++failed_connections_;
  const bool becomes_silent = !silent_ && failed_connections_ >= kFailedConnectionsUntilSilent;
  silent_ = silent_ || becomes_silent;
  return becomes_silent;
}

bool ServerReachability::startProbe() { return silent_ && !std::exchange(probing_, true); }

void ServerReachability::onProbeEnded(bool answered) {
  probing_ = false;
  if (answered) {
    silent_ = false;
    failed_connections_ = 0;
  }
}

}  // namespace shedlever
