#pragma once

/// @file
/// Sends large requests to peers in parts, paced by the machine's link, so that small frames pass between them.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "source/core/router/link/link_room.h"
#include "source/net/link_pacer.h"
#include "source/router/peer_stream.h"

namespace shedlever {

/// The requests of a stream are sent one after the other, those of different streams in turns. On each stream only a
/// limited number of bytes is sent ahead of the peer's acknowledgements.
class ForwardPartSender {
 public:
  struct Ports {
    /// @return the stream if it is open.
    std::function<PeerStream*(PeerStreamId)> stream;
    /// The last part of a request was passed to its stream.
    std::function<void(ExchangeId, const PeerStream&)> on_last_part;
  };

  /// @param loop, clock, pacer, links must outlive the sender.
  ForwardPartSender(EventLoop& loop, const Clock& clock, LinkPacer& pacer, const LinkRoom& links, Ports ports);
  ~ForwardPartSender();
  ForwardPartSender(const ForwardPartSender&) = delete;
  ForwardPartSender& operator=(const ForwardPartSender&) = delete;

  /// @return whether the request is to be sent in parts: it is large, the peer understands parts, and the own link or
  ///   that of the node is limited.
  bool takes(const PeerStream& stream, const ForwardFrame& frame) const;

  /// Queues a request for which `takes` returns true.
  void start(const PeerStream& stream, ForwardFrame frame);

  /// Stops sending the request.
  /// @return whether the peer has been sent a part of it; std::nullopt if its last part was sent, or it is unknown.
  std::optional<bool> cancel(PeerStreamId stream, ExchangeId exchange);

  /// Stops sending the requests of the stream. @return those whose last part was not sent.
  std::vector<ExchangeId> takeUnsent(PeerStreamId stream);

  /// @return bytes of requests that were not passed to the pacer yet.
  std::size_t queuedBytes() const;

 private:
  struct Transfer {
    ForwardFrame frame;
    TimePoint queued_at{};
    /// The encoded frame; empty until the first part is sent.
    std::string bytes = {};
    std::size_t sent_bytes = 0;
  };

  struct Queue {
    NodeName node;
    std::deque<Transfer> transfers;
    /// The piece of the first transfer that the pacer writes; 0 if there is none.
    std::uint64_t piece = 0;
    TransferId piece_transfer = 0;
    /// Bytes of the piece that are not written.
    std::size_t piece_bytes = 0;
  };

  /// Passes the next piece of the stream's first transfer to the pacer if the peer's acknowledgements allow it.
  void sendNext(PeerStreamId id);
  std::size_t writePart(PeerStreamId id, std::uint64_t piece, std::size_t max_bytes);
  void encode(Transfer& transfer, const PeerStream& stream) const;
  /// Cancels the piece that the pacer writes.
  void endPiece(Queue& queue);
  /// @return how many bytes may be sent ahead of the node's acknowledgements.
  std::size_t windowBytes(const NodeName& node) const;
  void scheduleCheck();

  EventLoop& loop_;
  const Clock& clock_;
  LinkPacer& pacer_;
  const LinkRoom& links_;
  Ports ports_;
  std::map<PeerStreamId, Queue> queues_;
  std::uint64_t last_piece_ = 0;
  TimerId timer_ = 0;
};

}  // namespace shedlever
