#pragma once

/// @file
/// One stream from this process to another node's process.

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "shedlever/router_frames.h"
#include "source/core/router/link/peer_liveness.h"
#include "source/core/router/link/transit_delay.h"
#include "source/net/message_stream.h"

namespace shedlever {

class PeerStream;

/// Identifies a stream within its process; 0 for none.
using PeerStreamId = std::uint64_t;

/// Receives the events of a stream, which must not be destroyed inside these calls.
class PeerStreamCallbacks {
 public:
  virtual ~PeerStreamCallbacks() = default;

  /// The hello of the expected node has arrived.
  virtual void onStreamUp(PeerStream& stream) = 0;
  /// Called for each frame, the hello included, while the stream is up. A reply's time of sending is that of this
  /// machine's clock.
  virtual void onStreamFrame(PeerStream& stream, RouterFrame frame) = 0;
  /// The last event of the stream.
  virtual void onStreamClosed(PeerStreamId id) = 0;
  /// A frame was queued.
  virtual void onFrameSent(const RouterFrame& frame, std::size_t bytes) = 0;
};

/// Remembers which exchanges were sent in which order, so that the unsent ones are known when the stream breaks, and
/// notices when the peer falls silent.
class PeerStream final : public MessageStreamCallbacks {
 public:
  /// Starts to connect and sends the hello.
  /// @param loop, clock, callbacks must outlive the stream.
  PeerStream(EventLoop& loop, const Clock& clock, PeerStreamCallbacks& callbacks, PeerStreamId id,
             const NodeIdentity& self, NodeName node, const Endpoint& endpoint, WireVersion version);
  ~PeerStream() override { *alive_ = false; }
  PeerStream(const PeerStream&) = delete;
  PeerStream& operator=(const PeerStream&) = delete;

  PeerStreamId id() const { return id_; }
  const NodeName& node() const { return node_; }
  /// @return whether the hello of the expected node has arrived.
  bool isUp() const { return up_; }
  /// @return whether the connection has ended.
  bool hasEnded() const { return ended_; }
  /// @return whether another node's process uses the address; that process ignores all frames of this stream.
  bool isMisdirected() const { return misdirected_; }
  /// @return incarnation of the node's process; valid while the stream is up.
  Incarnation incarnation() const { return incarnation_; }
  TimePoint lastReceivedAt() const { return liveness_.lastReceivedAt(); }
  std::size_t unsentBytes() const { return transport_.unsentBytes(); }
  /// @return the number of bytes of all frames that were written, including those in the send buffer.
  std::uint64_t enqueuedBytes() const { return transport_.enqueuedBytes(); }
  /// @return how many of the enqueued bytes the peer's kernel has acknowledged.
  std::uint64_t acknowledgedBytes() const { return transport_.acknowledgedBytes(); }

  /// Until the peer's hello has arrived, frames wait here, since the peer may not understand them. The cancellation of
  /// a request that waits here removes the request and is not sent.
  /// @param exchange exchange of a request; 0 for other frames.
  /// @return false if the frame could not be queued.
  bool send(RouterFrame frame, ExchangeId exchange = 0);

  WireVersion version() const { return version_; }
  /// @return whether the stream was connected and has ended before any hello. The peer may not know its version.
  bool wasRejected() const { return ended_ && !up_ && !misdirected_ && transport_.wasConnected(); }
  /// Moves the frames that wait for the hello to another stream to the node.
  void moveWaitingFrames(PeerStream& to) { to.waiting_frames_ = std::exchange(waiting_frames_, {}); }
  /// @return exchanges of the requests that wait for the hello.
  std::vector<ExchangeId> waitingExchanges() const;

  /// @return exchanges of requests that were not completely written. Also valid after the end.
  std::vector<ExchangeId> unsentExchanges() const;

  /// Adds a part of a large reply.
  /// @return the reply once it is complete. Aborts the stream if the reply is invalid.
  std::optional<ForwardReplyFrame> addReplyPart(const ReplyPartFrame& part);
  /// Drops the parts of a reply that nobody waits for.
  void dropReplyParts(ExchangeId exchange) { partial_replies_.erase(exchange); }

  /// Pings the peer if nothing was received for a while.
  /// @param waiting_since since when a request waits on the stream.
  /// Pings the peer if it has been silent for a while.
  /// @return whether the peer has left a ping unanswered for too long.
  bool isSilent(TimePoint now, TimePoint waiting_since);

  /// @param waiting_since since when a request waits on the stream.
  /// @return by how much the age of the peer's newest frame exceeds the limit; zero or less if the peer keeps up.
  Duration behindBy(TimePoint now, TimePoint waiting_since) const { return liveness_.behindBy(now, waiting_since); }
  /// @return estimated lateness of a small reply that arrives now.
  Duration replyDelay(TimePoint now) const { return transit_delay_.current(now); }

  /// The node fell silent and got a new stream.
  void markReplaced() { replaced_ = true; }
  bool isReplaced() const { return replaced_; }

  /// A frame of an unknown kind was received. @return whether it was the first one.
  bool markUnknownFrame() { return !std::exchange(received_unknown_frame_, true); }

  /// Closes the stream after all frames are written.
  void closeAfterFlush() { transport_.closeAfterFlush(); }

 private:
  void onMessage(std::string_view message) override;
  void onClosed() override;
  /// Verifies from the first frame that the peer is the expected node.
  /// @return false if the frame is no hello or comes from another node.
  bool acceptHello(const RouterFrame& first);
  void updateLiveness(const RouterFrame& frame);
  /// Replaces the reply's time of sending by the corresponding time of this machine's clock; 0 if it is not stated.
  void translateSendTime(ForwardReplyFrame& reply, bool small);
  /// Writes the frame and states in a request when it is sent.
  bool write(RouterFrame& frame, ExchangeId exchange);
  bool sendAfterHello(RouterFrame frame, ExchangeId exchange);
  void writeWaitingFrames();

  EventLoop& loop_;
  const Clock& clock_;
  PeerStreamCallbacks& callbacks_;
  PeerStreamId id_;
  NodeName node_;
  WireVersion version_;
  MessageStream transport_;
  /// Exchanges of the sent frames in order; 0 for frames other than requests.
  std::deque<ExchangeId> sent_exchanges_;
  struct WaitingFrame {
    RouterFrame frame;
    ExchangeId exchange = 0;
    TimePoint since{};
  };
  /// Subtracts the wait for the hello from a request's remaining time.
  void countWait(WaitingFrame& waiting) const;

  /// Frames that wait for the hello.
  std::vector<WaitingFrame> waiting_frames_;
  /// Bytes received so far of large replies.
  std::unordered_map<ExchangeId, std::string> partial_replies_;
  /// How late the peer's replies arrive.
  TransitDelay transit_delay_;
  PeerLiveness liveness_;
  bool up_ = false;
  Incarnation incarnation_;
  bool misdirected_ = false;
  bool replaced_ = false;
  bool received_unknown_frame_ = false;
  bool ended_ = false;
  /// Set to false by the destructor; checked by pending callbacks.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
