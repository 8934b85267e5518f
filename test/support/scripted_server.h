#pragma once

/// @file
/// A TCP server whose every word and every break the test decides.

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "source/net/event_loop.h"
#include "source/net/tcp_listener.h"

namespace shedlever::test {

/// Longest wait of a test for an event that must come. Not a timing assertion: a passing test never waits for it.
inline constexpr Duration kTestTimeout = std::chrono::seconds(30);

inline const Endpoint kAnyLoopbackPort{"127.0.0.1", 0};

/// @return an endpoint on which nobody listens.
Endpoint closedEndpoint(EventLoop& loop);

/// One accepted connection.
class ScriptedConnection {
 public:
  explicit ScriptedConnection(BufferEventHandle stream) : stream_(std::move(stream)) {}

  void write(const std::string& bytes);
  /// Closes once all is written.
  void closeAfterWriting();
  /// Breaks the connection with a reset; what was written and not sent is lost.
  void reset();
  bool open() const { return stream_ != nullptr; }

  /// Everything received so far.
  std::string received;

 private:
  friend class ScriptedServer;
  BufferEventHandle stream_;
};

class ScriptedServer {
 public:
  /// Runs at each arrival of bytes.
  using Script = std::function<void(ScriptedConnection&)>;

  ScriptedServer(EventLoop& loop, Script script);
  ~ScriptedServer();

  const Endpoint& endpoint() const { return listener_->endpoint(); }

  /// @return connections accepted since the start.
  std::size_t accepted() const { return connections_.size(); }
  /// @return connections that the other end has closed.
  std::size_t closedByPeer() const { return closed_by_peer_; }
  ScriptedConnection& connection(std::size_t index);

 private:
  struct Slot;
  void accept(evutil_socket_t socket);

  EventLoop& loop_;
  Script script_;
  std::list<std::unique_ptr<Slot>> connections_;
  std::size_t closed_by_peer_ = 0;
  std::unique_ptr<TcpListener> listener_;
};

/// @return a whole HTTP answer.
std::string httpResponseText(int status, const std::string& headers, const std::string& body);

/// @return whether the text holds a whole HTTP request with a Content-Length or none.
bool isCompleteRequest(const std::string& text);

}  // namespace shedlever::test
