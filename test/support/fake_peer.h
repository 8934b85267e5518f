#pragma once

/// @file
/// The server end of streams between routers, with an identity and behaviour that the test controls.

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "shedlever/load_report.h"
#include "source/core/router/link/request_assembler.h"
#include "source/net/message_stream.h"
#include "source/net/tcp_listener.h"
#include "source/router/peer_stream_options.h"
#include "test/support/scripted_server.h"

namespace shedlever::test {

/// Responds to each hello with its identity, to each exchange query with a state, and to each store call with a status.
class FakePeer {
 public:
  FakePeer(EventLoop& loop, NodeIdentity identity) : loop_(loop), identity_(std::move(identity)) {
    auto listener = TcpListener::open(loop, kAnyLoopbackPort, [this](evutil_socket_t socket, const Endpoint&) {
      streams_.push_back(std::make_unique<Stream>(*this, socket));
    });
    listener_ = std::move(listener.value());
  }

  const Endpoint& endpoint() const { return listener_->endpoint(); }

  /// Closes all streams and continues as another process at the same address.
  void restartAs(NodeIdentity identity) {
    identity_ = std::move(identity);
    held_.clear();
    streams_.clear();
  }

  /// Closes one stream, whose kept frames are lost.
  /// @param index counts the accepted streams from 0.
  void closeStream(std::size_t index) {
    Stream* closed = streams_.at(index).get();
    std::erase_if(held_, [closed](const auto& entry) { return entry.first == closed; });
    closed->stream.abort();
  }

  /// Keeps received frames unprocessed, as if they were still in the network.
  void hold() { holding_ = true; }
  /// The same for the streams that are open now; frames on later streams are processed immediately.
  void holdOpenStreams() {
    for (const auto& stream : streams_) {
      stream->held = true;
    }
  }
  /// Processes the kept frames in the order of their arrival; later frames are processed immediately again.
  void release() {
    holding_ = false;
    for (const auto& stream : streams_) {
      stream->held = false;
    }
    for (const auto& [stream, message] : std::exchange(held_, {})) {
      stream->process(message);
    }
  }

  /// @return number of the kept frames.
  std::size_t keptFrames() const { return held_.size(); }

  /// Takes only streams of this version, as an earlier build does. Later streams than the open ones.
  void speakOnly(WireVersion version) { only_version_ = version; }
  std::size_t acceptedStreams() const { return streams_.size(); }

  /// HTTP status of the replies to store calls.
  int store_status = 200;
  /// Headers of the replies to store calls.
  std::vector<HttpHeader> store_headers;
  std::size_t store_calls = 0;
  std::size_t forwarded_requests = 0;
  std::size_t cancelled_requests = 0;
  std::size_t exchange_queries = 0;
  /// Parts of requests.
  std::size_t received_parts = 0;
  /// Refuses each request at its first part.
  bool refuse_parts = false;
  /// Reply to exchange queries.
  ExchangeState exchange_state = ExchangeState::NotStarted;
  /// Number of received plans, each of which is answered with this load.
  std::size_t placement_plans = 0;
  ServerLoad load;
  /// Makes the reply to a forwarded request; without a function or a reply, the request stays unanswered.
  std::function<std::optional<ForwardReplyFrame>(const ForwardFrame&)> on_forward;

 private:
  struct Stream final : public MessageStreamCallbacks {
    Stream(FakePeer& owner, evutil_socket_t socket)
        : peer(owner), stream(owner.loop_, socket, owner.streamOptions(), *this) {}

    void onMessage(std::string_view message) override {
      if (peer.holding_ || held) {
        peer.held_.emplace_back(this, message);
      } else {
        process(message);
      }
    }

    void process(std::string_view message) {
      const RouterFrame frame = decodeRouterFrame(message, version()).value();
      if (std::holds_alternative<HelloFrame>(frame)) {
        sendFrame(HelloFrame{peer.identity_.name, peer.identity_.incarnation, false, {}});
      } else if (const auto* query = std::get_if<ExchangeQueryFrame>(&frame)) {
        ++peer.exchange_queries;
        sendFrame(ExchangeQueryReplyFrame{query->exchange, peer.exchange_state});
      } else if (const auto* call = std::get_if<StoreCallFrame>(&frame)) {
        ++peer.store_calls;
        sendFrame(StoreReplyFrame{call->exchange, true, {peer.store_status, peer.store_headers, {}}});
      } else if (std::holds_alternative<PingFrame>(frame)) {
        sendFrame(PongFrame{});
      } else if (std::holds_alternative<PlacementPlanFrame>(frame)) {
        ++peer.placement_plans;
        ForwardReplyFrame report;
        report.exchange = kLoadReportExchange;
        report.load = peer.load;
        sendFrame(std::move(report));
      } else if (std::holds_alternative<CancelForwardFrame>(frame)) {
        ++peer.cancelled_requests;
      } else if (const auto* forward = std::get_if<ForwardFrame>(&frame)) {
        ++peer.forwarded_requests;
        replyTo(*forward);
      } else if (const auto* part = std::get_if<ForwardPartFrame>(&frame)) {
        ++peer.received_parts;
        onPart(*part);
      }
    }

    void onPart(const ForwardPartFrame& part) {
      if (peer.refuse_parts) {
        ForwardReplyFrame refusal;
        refusal.outcome = ForwardOutcome::NotRun;
        refusal.reason = ForwardReason::Overloaded;
        refusal.exchange = part.exchange;
        sendFrame(std::move(refusal));
        return;
      }
      const PartResult result = assembler.add(0, part);
      if (result.verdict == PartVerdict::Complete) {
        process(result.bytes);
      }
    }
    void onClosed() override {}

    /// @return the version in which the connecting side speaks.
    WireVersion version() const { return versionOfPreface(stream.preface()).value(); }
    void sendFrame(const RouterFrame& frame) { stream.send(encodeRouterFrame(frame, version())); }

    void replyTo(const ForwardFrame& forward) {
      std::optional<ForwardReplyFrame> reply = peer.on_forward ? peer.on_forward(forward) : std::nullopt;
      if (reply) {
        reply->exchange = forward.exchange;
        sendFrame(std::move(*reply));
      }
    }

    FakePeer& peer;
    MessageStream stream;
    RequestAssembler assembler;
    bool held = false;
  };

  MessageStreamOptions streamOptions() const {
    MessageStreamOptions options = peerStreamOptions();
    if (only_version_) {
      options.preface = prefaceOf(*only_version_);
      options.other_prefaces.clear();
    }
    return options;
  }

  EventLoop& loop_;
  std::optional<WireVersion> only_version_;
  NodeIdentity identity_;
  std::unique_ptr<TcpListener> listener_;
  std::vector<std::unique_ptr<Stream>> streams_;
  bool holding_ = false;
  std::vector<std::pair<Stream*, std::string>> held_;
};

}  // namespace shedlever::test
