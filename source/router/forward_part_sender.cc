#include "source/router/forward_part_sender.h"

#include <algorithm>
#include <utility>

#include "source/core/router/link/request_assembler.h"
#include "source/net/router_codec.h"

namespace shedlever {

namespace {

/// As many bytes as the slower link carries in this time are sent ahead of the acknowledgements.
constexpr Duration kWindowTime = std::chrono::milliseconds(25);
constexpr std::size_t kMinWindowBytes = 32U << 10U;
constexpr std::size_t kMaxWindowBytes = 512U << 10U;
/// Smaller pieces would cost more in headers than they would save in waiting time.
constexpr std::size_t kMinPieceBytes = 4U << 10U;
/// Interval at which the kernel is asked for acknowledgements, which it does not report by itself. Shorter than
/// `kWindowTime`, so that the link stays in use.
constexpr Duration kCheckInterval = std::chrono::milliseconds(10);
constexpr double kBytesPerKilobyte = 1000.0;
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

ForwardPartSender::ForwardPartSender(EventLoop& loop, const Clock& clock, LinkPacer& pacer, const LinkRoom& links,
                                     Ports ports)
    : loop_(loop), clock_(clock), pacer_(pacer), links_(links), ports_(std::move(ports)) {}

ForwardPartSender::~ForwardPartSender() {
  loop_.cancel(timer_);
  for (auto& [id, queue] : queues_) {
    endPiece(queue);
  }
}

bool ForwardPartSender::takes(const PeerStream& stream, const ForwardFrame& frame) const {
  const std::size_t size = frame.http.body.size();
  const bool fits = size >= kMinPacedMessageBytes && size <= kMaxRequestBytesInParts / 2;
  const bool limited = pacer_.isLimited() || links_.isLimited(stream.node());
  return fits && limited && stream.isUp() && stream.version() >= kRequestPartsWireVersion;
}

void ForwardPartSender::start(const PeerStream& stream, ForwardFrame frame) {
  Queue& queue = queues_[stream.id()];
  queue.node = stream.node();
  queue.transfers.push_back({std::move(frame), clock_.now()});
  sendNext(stream.id());
}

std::size_t ForwardPartSender::windowBytes(const NodeName& node) const {
  const double own = pacer_.kilobytesPerSecond() * kBytesPerKilobyte;
  const double other = links_.bytesPerSecond(node);
  const double slower = own > 0 && other > 0 ? std::min(own, other) : std::max(own, other);
  const auto bytes =
      static_cast<std::size_t>(slower * static_cast<double>(kWindowTime.count()) / kMicrosecondsPerSecond);
  return std::clamp(bytes, kMinWindowBytes, kMaxWindowBytes);
}

void ForwardPartSender::encode(Transfer& transfer, const PeerStream& stream) const {
  const TimePoint now = clock_.now();
  const Duration waited = now - transfer.queued_at;
  transfer.frame.remaining_us -= waited.count();
  transfer.frame.elapsed_us += waited.count();
  transfer.frame.sent_at_us = now.time_since_epoch().count();
  const ExchangeId exchange = transfer.frame.exchange;
  transfer.bytes = encodeRouterFrame(RouterFrame(std::exchange(transfer.frame, {})), stream.version());
  transfer.frame.exchange = exchange;
}

void ForwardPartSender::sendNext(PeerStreamId id) {
  const auto found = queues_.find(id);
  if (found == queues_.end() || found->second.piece != 0) {
    return;
  }
  Queue& queue = found->second;
  if (queue.transfers.empty()) {
    queues_.erase(found);
    return;
  }
  const PeerStream* stream = ports_.stream(id);
  if (stream == nullptr) {
    return;
  }
  const std::size_t ahead = static_cast<std::size_t>(stream->enqueuedBytes() - stream->acknowledgedBytes());
  const std::size_t window = windowBytes(queue.node);
  if (ahead + kMinPieceBytes > window) {
    scheduleCheck();
    return;
  }
  Transfer& transfer = queue.transfers.front();
  if (transfer.bytes.empty()) {
    encode(transfer, *stream);
  }
  const std::size_t size = std::min(window - ahead, transfer.bytes.size() - transfer.sent_bytes);
  const std::uint64_t piece = ++last_piece_;
  queue.piece = piece;
  queue.piece_bytes = size;
  const auto write = [this, id, piece](std::size_t max_bytes) { return writePart(id, piece, max_bytes); };
  const TransferId started = pacer_.start(size, write);
  // The piece may have been written, and the next one begun, inside the call.
  const auto after = queues_.find(id);
  if (after != queues_.end() && after->second.piece == piece) {
    after->second.piece_transfer = started;
  }
}

std::size_t ForwardPartSender::writePart(PeerStreamId id, std::uint64_t piece, std::size_t max_bytes) {
  const auto found = queues_.find(id);
  PeerStream* stream = ports_.stream(id);
  if (found == queues_.end() || found->second.piece != piece || stream == nullptr) {
    return 0;
  }
  Queue& queue = found->second;
  Transfer& transfer = queue.transfers.front();
  const std::size_t size = std::min(max_bytes, queue.piece_bytes);
  const bool last = transfer.sent_bytes + size == transfer.bytes.size();
  const ExchangeId exchange = transfer.frame.exchange;
  const ForwardPartFrame part{exchange, transfer.bytes.substr(transfer.sent_bytes, size), last};
  // Only the last part counts as the request: without it the request can't run.
  if (!stream->send(part, last ? exchange : 0)) {
    return 0;
  }
  transfer.sent_bytes += size;
  queue.piece_bytes -= size;
  if (last) {
    queue.transfers.pop_front();
    ports_.on_last_part(exchange, *stream);
  }
  if (queue.piece_bytes == 0) {
    queue.piece = 0;
    queue.piece_transfer = 0;
    sendNext(id);
  }
  return size;
}

void ForwardPartSender::endPiece(Queue& queue) {
  queue.piece_bytes = 0;
  if (std::exchange(queue.piece, 0) != 0) {
    pacer_.cancel(std::exchange(queue.piece_transfer, 0));
  }
}

std::optional<bool> ForwardPartSender::cancel(PeerStreamId stream, ExchangeId exchange) {
  const auto queue = queues_.find(stream);
  if (queue == queues_.end()) {
    return std::nullopt;
  }
  std::deque<Transfer>& transfers = queue->second.transfers;
  const auto found = std::find_if(transfers.begin(), transfers.end(),
                                  [exchange](const Transfer& entry) { return entry.frame.exchange == exchange; });
  if (found == transfers.end()) {
    return std::nullopt;
  }
  const bool begun = found->sent_bytes > 0;
  if (found == transfers.begin()) {
    endPiece(queue->second);
  }
  transfers.erase(found);
  sendNext(stream);
  return begun;
}

std::vector<ExchangeId> ForwardPartSender::takeUnsent(PeerStreamId stream) {
  std::vector<ExchangeId> unsent;
  auto queue = queues_.extract(stream);
  if (!queue.empty()) {
    endPiece(queue.mapped());
    for (const Transfer& transfer : queue.mapped().transfers) {
      unsent.push_back(transfer.frame.exchange);
    }
  }
  return unsent;
}

std::size_t ForwardPartSender::queuedBytes() const {
  std::size_t bytes = 0;
  for (const auto& [id, queue] : queues_) {
    for (const Transfer& transfer : queue.transfers) {
      const bool begun = !transfer.bytes.empty();
      bytes += begun ? transfer.bytes.size() - transfer.sent_bytes : transfer.frame.http.body.size();
    }
    bytes -= queue.piece_bytes;
  }
  return bytes;
}

void ForwardPartSender::scheduleCheck() {
  if (timer_ != 0) {
    return;
  }
  timer_ = loop_.runAfter(kCheckInterval, [this] {
    timer_ = 0;
    std::vector<PeerStreamId> waiting;
    for (const auto& [id, queue] : queues_) {
      waiting.push_back(id);
    }
    for (const PeerStreamId id : waiting) {
      sendNext(id);
    }
  });
}

}  // namespace shedlever
