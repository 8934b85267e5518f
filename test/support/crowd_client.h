#pragma once

/// @file
/// A client that exceeds what ordinary clients send: it sends a request of any size piece by piece, stops wherever the
/// test wants, and never closes its connection.

#include <functional>
#include <string>

#include "shedlever/identifiers.h"
#include "source/net/event_handles.h"
#include "source/net/event_loop.h"

namespace shedlever::test {

class CrowdClient {
 public:
  /// @return the next bytes to send; empty when nothing more is sent.
  using Pieces = std::function<std::string()>;

  /// Connects and sends the pieces, each after the one before has been written.
  CrowdClient(EventLoop& loop, const Endpoint& router, Pieces pieces);
  CrowdClient(const CrowdClient&) = delete;
  CrowdClient& operator=(const CrowdClient&) = delete;

  /// @return whether everything was sent, or the router has responded or closed the connection.
  bool finished() const { return all_sent_ || closed_ || !received_.empty(); }

  /// @return the status of the response; 0 without one.
  int status() const;

 private:
  void sendNext();

  Pieces pieces_;
  BufferEventHandle stream_;
  std::string received_;
  bool all_sent_ = false;
  bool closed_ = false;
};

}  // namespace shedlever::test
