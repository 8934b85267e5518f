#include "source/router/peer_stream.h"

#include <algorithm>
#include <utility>

#include "source/net/link_pacer.h"
#include "source/net/router_codec.h"
#include "source/router/peer_stream_options.h"

namespace shedlever {

namespace {

/// A node whose hello has not arrived this long after the stream was opened is given up; a full link delays it for
/// less.
constexpr Duration kHelloTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxRememberedExchanges = 4096;

}  // namespace

PeerStream::PeerStream(EventLoop& loop, const Clock& clock, PeerStreamCallbacks& callbacks, PeerStreamId id,
                       const NodeIdentity& self, NodeName node, const Endpoint& endpoint, WireVersion version)
    : loop_(loop),
      clock_(clock),
      callbacks_(callbacks),
      id_(id),
      node_(std::move(node)),
      version_(version),
      transport_(loop, endpoint, peerStreamOptions(version), *this),
      liveness_(clock.now()) {
  RouterFrame hello(HelloFrame{self.name, self.incarnation, false, node_});
  write(hello, 0);
  loop_.runAfter(kHelloTimeout, [this, alive = alive_] {
    if (*alive && !up_ && !ended_) {
      transport_.abort();
    }
  });
}

void PeerStream::onMessage(std::string_view message) {
  auto frame = decodeRouterFrame(message, version_);
  if (!frame || (!up_ && !acceptHello(frame.value()))) {
    transport_.abort();
    return;
  }
  if (auto* reply = std::get_if<ForwardReplyFrame>(&frame.value())) {
    translateSendTime(*reply, message.size() < kMinPacedMessageBytes);
  }
  updateLiveness(frame.value());
  callbacks_.onStreamFrame(*this, std::move(frame.value()));
}

void PeerStream::updateLiveness(const RouterFrame& frame) {
  const TimePoint now = clock_.now();
  if (std::holds_alternative<PongFrame>(frame)) {
    liveness_.onPong(now);
    return;
  }
  const auto* reply = std::get_if<ForwardReplyFrame>(&frame);
  const bool states_time = reply != nullptr && reply->sent_at_us != 0;
  liveness_.onFrame(states_time ? TimePoint(Duration(reply->sent_at_us)) : now, now);
}

void PeerStream::translateSendTime(ForwardReplyFrame& reply, bool small) {
  if (reply.sent_at_us == 0) {
    return;
  }
  const TimePoint now = clock_.now();
  const Duration sent_at(reply.sent_at_us);
  const Duration lateness = small ? transit_delay_.onSmallFrame(sent_at, now) : transit_delay_.onFrame(sent_at, now);
  reply.sent_at_us = (now - lateness).time_since_epoch().count();
}

bool PeerStream::acceptHello(const RouterFrame& first) {
  const auto* hello = std::get_if<HelloFrame>(&first);
  if (hello == nullptr || hello->node != node_) {
    misdirected_ = hello != nullptr;
    return false;
  }
  up_ = true;
  incarnation_ = hello->incarnation;
  // The outcomes of earlier requests are requested first.
  callbacks_.onStreamUp(*this);
  writeWaitingFrames();
  return true;
}

void PeerStream::onClosed() {
  // Posted, since the owner destroys the stream, which must not happen in its own callback.
  ended_ = true;
  loop_.post([this, alive = alive_] {
    if (*alive) {
      callbacks_.onStreamClosed(id_);
    }
  });
}

bool PeerStream::send(RouterFrame frame, ExchangeId exchange) {
  if (ended_) {
    return false;
  }
  return up_ ? write(frame, exchange) : sendAfterHello(std::move(frame), exchange);
}

bool PeerStream::sendAfterHello(RouterFrame frame, ExchangeId exchange) {
  const auto* cancellation = std::get_if<CancelForwardFrame>(&frame);
  const auto is_cancelled = [cancellation](const WaitingFrame& waiting) {
    return waiting.exchange == cancellation->exchange;
  };
  if (cancellation != nullptr && std::erase_if(waiting_frames_, is_cancelled) > 0) {
    return true;
  }
  if (waiting_frames_.size() >= kMaxRememberedExchanges) {
    return false;
  }
  waiting_frames_.push_back({std::move(frame), exchange, clock_.now()});
  return true;
}

void PeerStream::writeWaitingFrames() {
  for (WaitingFrame& waiting : std::exchange(waiting_frames_, {})) {
    countWait(waiting);
    if (!write(waiting.frame, waiting.exchange) && waiting.exchange != 0) {
      waiting_frames_.push_back(std::move(waiting));
    }
  }
}

void PeerStream::countWait(WaitingFrame& waiting) const {
  if (auto* request = std::get_if<ForwardFrame>(&waiting.frame)) {
    const Duration waited = clock_.now() - waiting.since;
    request->remaining_us -= waited.count();
    request->elapsed_us += waited.count();
  }
}

std::vector<ExchangeId> PeerStream::waitingExchanges() const {
  std::vector<ExchangeId> exchanges;
  for (const WaitingFrame& waiting : waiting_frames_) {
    if (waiting.exchange != 0) {
      exchanges.push_back(waiting.exchange);
    }
  }
  return exchanges;
}

bool PeerStream::write(RouterFrame& frame, ExchangeId exchange) {
  if (!isKnownIn(frame, version_)) {
    return false;
  }
  if (auto* request = std::get_if<ForwardFrame>(&frame)) {
    request->sent_at_us = clock_.now().time_since_epoch().count();
  }
  std::string bytes = encodeRouterFrame(frame, version_);
  const std::size_t size = bytes.size();
  if (ended_ || !transport_.send(std::move(bytes))) {
    return false;
  }
  callbacks_.onFrameSent(frame, size);
  sent_exchanges_.push_back(exchange);
  if (sent_exchanges_.size() > kMaxRememberedExchanges) {
    sent_exchanges_.pop_front();
  }
  return true;
}

std::vector<ExchangeId> PeerStream::unsentExchanges() const {
  std::vector<ExchangeId> exchanges = waitingExchanges();
  const std::size_t unsent = std::min(transport_.unsentMessages(), sent_exchanges_.size());
  std::copy_if(sent_exchanges_.end() - static_cast<std::ptrdiff_t>(unsent), sent_exchanges_.end(),
               std::back_inserter(exchanges), [](ExchangeId exchange) { return exchange != 0; });
  return exchanges;
}

std::optional<ForwardReplyFrame> PeerStream::addReplyPart(const ReplyPartFrame& part) {
  std::string& bytes = partial_replies_[part.exchange];
  bytes += part.bytes;
  const bool too_long = bytes.size() > peerStreamOptions().max_message_bytes;
  if (!part.last && !too_long) {
    return std::nullopt;
  }
  auto frame = decodeRouterFrame(bytes, version_);
  partial_replies_.erase(part.exchange);
  auto* reply = frame ? std::get_if<ForwardReplyFrame>(&frame.value()) : nullptr;
  if (reply == nullptr || too_long) {
    transport_.abort();
    return std::nullopt;
  }
  translateSendTime(*reply, false);
  return std::move(*reply);
}

bool PeerStream::isSilent(TimePoint now, TimePoint waiting_since) {
  if (liveness_.mustPing(now, waiting_since)) {
    liveness_.onPinged(now);
    send(PingFrame{});
  }
  return liveness_.isSilent(now);
}

}  // namespace shedlever
