#pragma once

/// @file
/// A TCP server whose writes and disconnections the test controls.

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "source/net/event_loop.h"
#include "source/net/tcp_listener.h"

namespace shedlever::test {

/// Maximum time that a test waits for an expected event. A passing test does not wait this long, so this asserts
/// nothing about timing.
inline constexpr Duration kTestTimeout = std::chrono::seconds(30);

inline const Endpoint kAnyLoopbackPort{"127.0.0.1", 0};

/// @return an endpoint on which no process listens.
Endpoint closedEndpoint(EventLoop& loop);

/// One accepted connection.
class ScriptedConnection {
 public:
  explicit ScriptedConnection(BufferEventHandle stream) : stream_(std::move(stream)) {}

  void write(const std::string& bytes);
  /// Writes the remaining output and closes the connection.
  void closeAfterWriting();
  /// Closes the connection with a TCP reset; output that is not sent yet is lost.
  void reset();
  bool open() const { return stream_ != nullptr; }
  /// @return bytes that were written and that the kernel has not taken.
  std::size_t unsentBytes() const;

  /// Everything received so far.
  std::string received;

 private:
  friend class ScriptedServer;
  BufferEventHandle stream_;
};

class ScriptedServer {
 public:
  /// Runs each time that bytes have arrived.
  using Script = std::function<void(ScriptedConnection&)>;

  /// @param listen a free port by default.
  ScriptedServer(EventLoop& loop, Script script, const Endpoint& listen = kAnyLoopbackPort);
  ~ScriptedServer();

  const Endpoint& endpoint() const { return listener_->endpoint(); }

  /// @return the number of connections accepted since the start.
  std::size_t accepted() const { return connections_.size(); }
  /// @return the number of connections that the other end has closed.
  std::size_t closedByPeer() const { return closed_by_peer_; }
  ScriptedConnection& connection(std::size_t index);

 private:
  struct Accepted;
  void accept(evutil_socket_t socket);

  EventLoop& loop_;
  Script script_;
  std::list<std::unique_ptr<Accepted>> connections_;
  std::size_t closed_by_peer_ = 0;
  std::unique_ptr<TcpListener> listener_;
};

/// @return the bytes of a complete HTTP response.
std::string httpResponseText(int status, const std::string& headers, const std::string& body);

/// @return whether the text contains a complete HTTP request; without a Content-Length, its body is taken as empty.
bool isCompleteRequest(const std::string& text);

/// @return the value of the header in the text of a request; empty if it has none.
std::string headerOf(const std::string& request, const std::string& name);

}  // namespace shedlever::test
