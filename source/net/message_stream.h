#pragma once

/// @file
/// A TCP connection for length-prefixed messages.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "shedlever/identifiers.h"
#include "source/net/event_loop.h"

namespace shedlever {

struct MessageStreamOptions {
  /// The first four bytes on the stream, sent by the connecting side. Identifies protocol and version.
  std::uint32_t preface = 0;
  /// Prefaces that the accepting side takes besides.
  std::vector<std::uint32_t> other_prefaces = {};
  std::size_t max_message_bytes = 0;
  /// Limit for the send buffer.
  std::size_t max_unsent_bytes = 0;
  /// Whether sending a message over one of the limits closes the stream. Otherwise the message is dropped.
  bool close_on_limit = true;
  Duration connect_timeout = std::chrono::seconds(1);
  /// The stream is closed when the other side has acknowledged nothing for about this time.
  Duration dead_peer_timeout = std::chrono::seconds(4);
};

/// Receives the events of a stream. The stream may be destroyed inside each call.
class MessageStreamCallbacks {
 public:
  virtual ~MessageStreamCallbacks() = default;

  /// @param message is only valid during the call.
  virtual void onMessage(std::string_view message) = 0;
  /// Bytes were read from the network, and all complete messages in them have been passed to `onMessage`.
  virtual void onInputRead() {}
  /// The last event of the stream.
  virtual void onClosed() = 0;
};

class MessageStream {
 public:
  /// Starts to connect. Messages may be sent before the connection is established.
  /// @param loop, callbacks must outlive the stream.
  MessageStream(EventLoop& loop, const Endpoint& to, const MessageStreamOptions& options,
                MessageStreamCallbacks& callbacks);
  /// Takes ownership of an accepted socket.
  MessageStream(EventLoop& loop, evutil_socket_t socket, const MessageStreamOptions& options,
                MessageStreamCallbacks& callbacks);
  /// Closes the connection immediately without a callback.
  ~MessageStream();
  MessageStream(const MessageStream&) = delete;
  MessageStream& operator=(const MessageStream&) = delete;

  /// @return false when the stream is closed or the message exceeds a limit. Then no byte of the message was sent.
  bool send(std::string message);

  /// Closes the stream after all messages are written, and the other side has closed or a linger time has passed.
  void closeAfterFlush();

  /// Closes the stream without waiting for unsent messages, for example after a protocol error. `onClosed` runs from
  /// the loop; `onMessage` is not called again.
  void abort() { scheduleClose(); }

  /// @return the preface of the stream; on the accepting side valid once a message was received.
  std::uint32_t preface() const { return options_.preface; }

  /// @return whether the connection was established.
  bool wasConnected() const { return was_connected_; }

  /// @return the number of messages that were not completely written to the network. Also valid after the close.
  std::size_t unsentMessages() const;

  /// @return the number of bytes in the send buffer. Also valid after the close.
  std::size_t unsentBytes() const;

  /// @return the number of bytes of all messages that were passed to `send`, including those in the send buffer.
  std::uint64_t enqueuedBytes() const { return enqueued_bytes_; }

  /// @return the number of bytes that were read from the network, the preface included; valid until the close.
  std::uint64_t readBytes() const;

  /// @return `readBytes` and the bytes that have arrived but were not read yet; valid until the close.
  std::uint64_t arrivedBytes() const;

  /// @return how many of the enqueued bytes the other side has acknowledged.
  std::uint64_t acknowledgedBytes() const;

 private:
  static void onRead(bufferevent* stream, void* argument);
  static void onWritten(bufferevent* stream, void* argument);
  static void onEvent(bufferevent* stream, short events, void* argument);

  void start();
  void connected();
  void readMessages();
  bool takePreface(evbuffer* input);
  /// Removes bytes that were handled.
  void drain(evbuffer* input, std::size_t bytes);
  /// Passes the complete messages in the buffer on. @return false if the stream was destroyed or is closing.
  bool passMessages(evbuffer* input);
  void shutDownWriting();
  void close();
  /// Closes from the loop, not inside the current call.
  void scheduleClose();
  std::uint64_t writtenBytes() const;
  void dropWrittenMessages();

  EventLoop& loop_;
  MessageStreamOptions options_;
  MessageStreamCallbacks& callbacks_;
  /// Null after the close.
  BufferEventHandle stream_;
  TimerId connect_timer_ = 0;
  /// Closes the stream in the next iteration of the loop or after the linger time.
  TimerId close_timer_ = 0;
  bool expects_preface_ = false;
  bool was_connected_ = false;
  bool closed_ = false;
  bool closing_ = false;
  /// The end of each message as an offset in the stream. Written messages are removed.
  std::deque<std::uint64_t> message_ends_;
  std::uint64_t enqueued_bytes_ = 0;
  std::size_t unsent_bytes_at_close_ = 0;
  /// Received bytes that were handled and removed from the input buffer.
  std::uint64_t drained_bytes_ = 0;
  /// Set to false by the destructor, so that a loop over messages detects the destruction inside a callback.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
