#pragma once

/// @file
/// One TCP connection that carries messages, each with its length before it. Control messages that are too long for
/// datagrams and request frames both travel on it.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include "shedlever/identifiers.h"
#include "source/net/event_loop.h"

namespace shedlever {

struct MessageStreamOptions {
  /// First word on the stream, from the side that connects; tells protocol and version.
  std::uint32_t preface = 0;
  /// Longest message, in bytes.
  std::size_t max_message_bytes = 0;
  /// Bytes that may wait unwritten.
  std::size_t max_unsent_bytes = 0;
  /// Whether a message over one of the limits ends the stream, or is left out.
  bool close_on_limit = true;
  Duration connect_timeout = std::chrono::seconds(1);
  /// A stream whose other end acknowledges nothing for this long is ended.
  Duration dead_peer_timeout = std::chrono::seconds(4);
};

/// Events of a stream. The stream may be destroyed inside each of them.
class MessageStreamCallbacks {
 public:
  virtual ~MessageStreamCallbacks() = default;

  /// @param message is valid during the call only.
  virtual void onMessage(std::string_view message) = 0;
  /// The last event.
  virtual void onClosed() = 0;
};

class MessageStream {
 public:
  /// Connects. Messages may be sent at once.
  /// @param loop, callbacks outlive the stream.
  MessageStream(EventLoop& loop, const Endpoint& to, const MessageStreamOptions& options,
                MessageStreamCallbacks& callbacks);
  /// Takes over an accepted socket.
  MessageStream(EventLoop& loop, evutil_socket_t socket, const MessageStreamOptions& options,
                MessageStreamCallbacks& callbacks);
  /// Closes at once; no callback runs.
  ~MessageStream();
  MessageStream(const MessageStream&) = delete;
  MessageStream& operator=(const MessageStream&) = delete;

  /// @return false when the stream has ended, or the message is over a limit (the stream may end then); nothing of the
  ///   message was sent.
  bool send(std::string message);

  /// Ends the stream once all is written and the other end has closed, or does not within a second.
  void closeAfterFlush();

  /// Ends the stream at once: what arrives on it can't be trusted. `onClosed` runs from the loop; no further message
  /// does.
  void abort() { scheduleClose(); }

  /// @return how many messages, counted back from the last, were not written whole to the network. After the end too.
  std::size_t unsentMessages() const;

  /// @return bytes that wait to be written.
  std::size_t unsentBytes() const;

 private:
  static void onRead(bufferevent* stream, void* argument);
  static void onWritten(bufferevent* stream, void* argument);
  static void onEvent(bufferevent* stream, short events, void* argument);

  void start();
  void connected();
  void readMessages();
  bool takePreface(evbuffer* input);
  void shutDownWriting();
  void close();
  /// Ends from the loop, not inside the present call.
  void scheduleClose();
  std::uint64_t writtenBytes() const;
  void dropWrittenMessages();

  EventLoop& loop_;
  MessageStreamOptions options_;
  MessageStreamCallbacks& callbacks_;
  /// Null after the end.
  BufferEventHandle stream_;
  TimerId connect_timer_ = 0;
  /// Ends the stream: at once but from the loop, or after the linger time.
  TimerId close_timer_ = 0;
  bool expects_preface_ = false;
  bool closed_ = false;
  bool closing_ = false;
  /// Where each message ends, as a count of all bytes handed over; those known to be written are taken out.
  std::deque<std::uint64_t> message_ends_;
  std::uint64_t enqueued_bytes_ = 0;
  /// Unwritten bytes at the end of the stream.
  std::size_t unsent_bytes_at_close_ = 0;
  /// Set to false by the destructor, for loops that run callbacks.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
