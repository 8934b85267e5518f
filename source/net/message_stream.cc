#include "source/net/message_stream.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

#include "source/net/event_buffers.h"
#include "source/net/socket_address.h"

namespace shedlever {

namespace {

/// How long a stream waits for the other side to close after the local side has shut down writing.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
constexpr std::size_t kWordBytes = 4;
constexpr unsigned kBitsPerByte = 8;

using Word = std::array<unsigned char, kWordBytes>;

/// @return the word in little-endian byte order.
std::string encodeWord(std::uint32_t value) {
  std::string bytes;
  for (std::size_t i = 0; i < kWordBytes; ++i) {
    bytes.push_back(static_cast<char>(value >> (i * kBitsPerByte)));
  }
  return bytes;
}

/// @return the first word of the buffer, which must contain at least one.
std::uint32_t peekWord(evbuffer* buffer) {
  Word bytes{};
  evbuffer_copyout(buffer, bytes.data(), bytes.size());
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < kWordBytes; ++i) {
    value |= static_cast<std::uint32_t>(bytes.at(i)) << (i * kBitsPerByte);
  }
  return value;
}

}  // namespace

MessageStream::MessageStream(EventLoop& loop, const Endpoint& to, const MessageStreamOptions& options,
                             MessageStreamCallbacks& callbacks)
    : loop_(loop),
      options_(options),
      callbacks_(callbacks),
      stream_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
  start();
  const std::string preface = encodeWord(options_.preface);
  evbuffer_add(bufferevent_get_output(stream_.get()), preface.data(), preface.size());
  enqueued_bytes_ = preface.size();
  const std::optional<SocketAddress> address = toSocketAddress(to);
  const bool started = address && bufferevent_socket_connect(stream_.get(), const_cast<sockaddr*>(address->get()),
                                                             static_cast<int>(address->length)) == 0;
  connect_timer_ = loop_.runAfter(started ? options_.connect_timeout : Duration::zero(), [this] { close(); });
}

MessageStream::MessageStream(EventLoop& loop, evutil_socket_t socket, const MessageStreamOptions& options,
                             MessageStreamCallbacks& callbacks)
    : loop_(loop),
      options_(options),
      callbacks_(callbacks),
      stream_(bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE)),
      expects_preface_(true) {
  start();
  setDeadPeerTimeout(socket, options_.dead_peer_timeout);
}

MessageStream::~MessageStream() {
  loop_.cancel(connect_timer_);
  loop_.cancel(close_timer_);
  *alive_ = false;
}

void MessageStream::start() {
  bufferevent_setcb(stream_.get(), onRead, onWritten, onEvent, this);
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
}

void MessageStream::connected() {
  was_connected_ = true;
  loop_.cancel(std::exchange(connect_timer_, 0));
  const evutil_socket_t socket = bufferevent_getfd(stream_.get());
  setNoDelay(socket);
  setDeadPeerTimeout(socket, options_.dead_peer_timeout);
}

bool MessageStream::send(std::string message) {
  if (closed_ || closing_) {
    return false;
  }
  const std::size_t size = kWordBytes + message.size();
  if (message.size() > options_.max_message_bytes || unsentBytes() + size > options_.max_unsent_bytes) {
    if (options_.close_on_limit) {
      scheduleClose();
    }
    return false;
  }
  dropWrittenMessages();
  evbuffer* output = bufferevent_get_output(stream_.get());
  const std::string length = encodeWord(static_cast<std::uint32_t>(message.size()));
  evbuffer_add(output, length.data(), length.size());
  appendBytes(output, std::move(message));
  enqueued_bytes_ += size;
  message_ends_.push_back(enqueued_bytes_);
  const bool connecting = connect_timer_ != 0;
  if (!connecting) {
    flushOutput(stream_.get());
  }
  return true;
}

std::size_t MessageStream::unsentBytes() const {
  return stream_ ? evbuffer_get_length(bufferevent_get_output(stream_.get())) : unsent_bytes_at_close_;
}

std::uint64_t MessageStream::writtenBytes() const { return enqueued_bytes_ - unsentBytes(); }

std::uint64_t MessageStream::acknowledgedBytes() const {
  const std::uint64_t written = writtenBytes();
  const std::uint64_t in_kernel = stream_ ? unacknowledgedBytes(bufferevent_getfd(stream_.get())) : 0;
  // The kernel also counts the end of the stream.
  return written - std::min(written, in_kernel);
}

std::uint64_t MessageStream::readBytes() const {
  return drained_bytes_ + evbuffer_get_length(bufferevent_get_input(stream_.get()));
}

std::uint64_t MessageStream::arrivedBytes() const {
  return readBytes() + unreadBytes(bufferevent_getfd(stream_.get()));
}

void MessageStream::dropWrittenMessages() {
  const std::uint64_t written = writtenBytes();
  while (!message_ends_.empty() && message_ends_.front() <= written) {
    message_ends_.pop_front();
  }
}

std::size_t MessageStream::unsentMessages() const {
  const std::uint64_t written = writtenBytes();
  std::size_t unsent = 0;
  for (auto message_end = message_ends_.rbegin(); message_end != message_ends_.rend(); ++message_end) {
    if (*message_end <= written) {
      break;
    }
    ++unsent;
  }
  return unsent;
}

void MessageStream::closeAfterFlush() {
  if (closed_ || closing_) {
    return;
  }
  closing_ = true;
  if (unsentBytes() == 0) {
    shutDownWriting();
  }
}

void MessageStream::shutDownWriting() {
  // Closing a socket with unread input would reset the connection and could discard written messages.
  shutdown(bufferevent_getfd(stream_.get()), SHUT_WR);
  loop_.cancel(close_timer_);
  close_timer_ = loop_.runAfter(kLingerTimeout, [this] { close(); });
}

void MessageStream::onRead(bufferevent*, void* argument) { static_cast<MessageStream*>(argument)->readMessages(); }

void MessageStream::onWritten(bufferevent*, void* argument) {
  auto* self = static_cast<MessageStream*>(argument);
  if (self->closing_) {
    self->shutDownWriting();
  }
}

void MessageStream::onEvent(bufferevent*, short events, void* argument) {
  auto* self = static_cast<MessageStream*>(argument);
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    self->connected();
  } else {
    self->close();
  }
}

bool MessageStream::takePreface(evbuffer* input) {
  if (evbuffer_get_length(input) < kWordBytes) {
    return false;
  }
  const std::uint32_t preface = peekWord(input);
  const std::vector<std::uint32_t>& others = options_.other_prefaces;
  if (preface != options_.preface && std::find(others.begin(), others.end(), preface) == others.end()) {
    close();
    return false;
  }
  options_.preface = preface;
  drain(input, kWordBytes);
  expects_preface_ = false;
  return true;
}

void MessageStream::readMessages() {
  if (closed_) {
    return;
  }
  evbuffer* input = bufferevent_get_input(stream_.get());
  if (expects_preface_ && !takePreface(input)) {
    return;
  }
  if (passMessages(input)) {
    callbacks_.onInputRead();
  }
}

void MessageStream::drain(evbuffer* input, std::size_t bytes) {
  evbuffer_drain(input, bytes);
  drained_bytes_ += bytes;
}

bool MessageStream::passMessages(evbuffer* input) {
  const std::shared_ptr<bool> alive = alive_;
  while (evbuffer_get_length(input) >= kWordBytes) {
    const std::size_t size = peekWord(input);
    if (size > options_.max_message_bytes) {
      close();
      return false;
    }
    if (evbuffer_get_length(input) < kWordBytes + size) {
      return true;
    }
    drain(input, kWordBytes);
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
    callbacks_.onMessage(size == 0 ? std::string_view() : std::string_view(bytes, size));
    if (!*alive || closed_) {
      return false;
    }
    drain(input, size);
  }
  return true;
}

void MessageStream::scheduleClose() {
  closed_ = true;
  loop_.cancel(close_timer_);
  close_timer_ = loop_.runAfter(Duration::zero(), [this] { close(); });
}

void MessageStream::close() {
  if (!stream_) {
    return;
  }
  loop_.cancel(std::exchange(connect_timer_, 0));
  loop_.cancel(std::exchange(close_timer_, 0));
  closed_ = true;
  unsent_bytes_at_close_ = evbuffer_get_length(bufferevent_get_output(stream_.get()));
  stream_.reset();
  callbacks_.onClosed();
}

}  // namespace shedlever
