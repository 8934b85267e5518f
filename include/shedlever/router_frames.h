#pragma once

/// @file
/// Frames that router processes exchange over message streams. A frame arrives complete or not at all.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "shedlever/http_messages.h"
#include "shedlever/identifiers.h"
#include "shedlever/outcome.h"
#include "shedlever/owner_table_frames.h"
#include "shedlever/placement_frames.h"
#include "shedlever/router_config.h"
#include "shedlever/server_crashes.h"
#include "shedlever/store_revision.h"
#include "shedlever/table_edit_frames.h"
#include "shedlever/wire_version.h"

namespace shedlever {

/// Identifies a forwarded request between two processes; unique within one incarnation of the sender.
using ExchangeId = std::uint64_t;

/// A tenant's share of a server's queue.
struct TenantShare {
  /// Empty if tenants are not distinguished.
  TenantName name;
  /// Share relative to the other tenants.
  std::uint32_t weight = 1;
  /// Maximum number of the tenant's requests that wait at one server; 0: no limit.
  std::uint32_t queue_limit = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, weight, queue_limit);
  }
};

/// A request for the server on the receiving process's node.
struct ForwardFrame {
  ExchangeId exchange = 0;
  RequestId id;
  InstanceId instance;
  /// Name of the request's route.
  std::string route;
  RouteKind kind = RouteKind::AtMostOnce;
  std::uint32_t priority = 0;
  bool keyed = false;
  Key key = 0;
  /// Time left until the request's deadline when the frame is sent.
  Duration::rep remaining_us = 0;
  /// The route's latency objective.
  Duration::rep target_us = 0;
  /// Time since the request arrived at its gateway when the frame is sent.
  Duration::rep elapsed_us = 0;
  /// Service of the node at whose gateway the request arrived.
  ServiceName caller;
  TenantShare tenant;
  HttpRequest http;
  /// Monotonic time of the sender's node when the frame is sent; 0 if not stated.
  Duration::rep sent_at_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, id, instance, route, kind, priority, keyed, key, remaining_us, target_us, elapsed_us, caller,
            tenant, http, sinceWireVersion(kRequestPartsWireVersion, sent_at_us));
  }
};

/// A part of a large forward frame. The parts of one request arrive in order, possibly interleaved with other frames.
struct ForwardPartFrame {
  ExchangeId exchange = 0;
  /// Bytes of the encoded forward frame.
  std::string bytes;
  bool last = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, bytes, last);
  }
};

/// Outcome of a forwarded request.
enum class ForwardOutcome : std::uint8_t {
  Answered,  ///< `http` is the server's complete response
  NotRun,    ///< certain: the server has not run the request and never will
  Unknown,   ///< the request may have run
};

enum class ForwardReason : std::uint8_t {
  None,
  Overloaded,      ///< the queue is too long
  QueueFull,       ///< the tenant's queue limit is reached
  WrongInstance,   ///< another instance of the server is running, or none
  NotOwner,        ///< the server does not hold the key
  NotYetOwner,     ///< the key is being transferred to the server
  Draining,        ///< the server is draining
  ServerRefused,   ///< the server reported that it did not run the request
  ServerDown,      ///< the server is unreachable
  ConnectionLost,  ///< the connection to the server or to its router process broke
  BrokenAnswer,    ///< the server's response was truncated or invalid
  TimedOut,
  Cancelled,
  NoInstance,    ///< no server of the service is known
  Quarantined,   ///< servers have crashed while processing the same request
  Evacuated,     ///< operators have evacuated the server's zone
  Unrecognized,  ///< a reason that only the peer's later build knows; never sent
};

/// The last value that is sent.
inline constexpr ForwardReason kLastForwardReason = ForwardReason::Evacuated;

/// @return the word used in logs and metrics.
const char* toString(ForwardReason reason);

/// @return the reason that is reported to the client.
Reason reasonOf(ForwardReason reason);

/// Load of a server as measured by the router process on its node.
struct ServerLoad {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t slots = 0;
  /// How long pending large responses keep the machine's network link busy, in milliseconds; 0 where the link is not a
  /// bottleneck.
  std::uint32_t link_busy_ms = 0;
  /// Recently failed requests per thousand.
  std::uint32_t failed_permille = 0;
  /// Hundredths of slots that all requests for the server's keys would occupy; exceeds 100 times `slots` while some are
  /// refused. 0 for services without keys.
  std::uint32_t demand_hundredths = 0;
  /// Mean run time of a request in milliseconds.
  std::uint32_t mean_service_ms = 0;
  /// Bandwidth of the node's link in each direction, in kilobytes per second; 0 if it is no bottleneck or not stated.
  std::uint32_t link_kbytes_per_s = 0;
  /// How much longer than usual frames take to arrive at the node, in milliseconds.
  std::uint32_t arrival_delay_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(running, queued, slots, link_busy_ms, failed_permille, demand_hundredths, mean_service_ms,
            sinceWireVersion(kRequestPartsWireVersion, link_kbytes_per_s),
            sinceWireVersion(kRequestPartsWireVersion, arrival_delay_ms));
  }
};

/// How current a process's view of one kind of store objects is.
struct KindFreshness {
  /// Revision of the newest object that the process has seen; none if there is no object.
  StoreRevision revision;
  /// Store revision up to which the process has seen all changes of the kind; none if not reported.
  StoreRevision synced_revision;
  /// Time since the view was last known to be current, when the frame is sent.
  Duration::rep staleness_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(revision, synced_revision, staleness_us);
  }
};

/// The newest store objects that a process has seen. A receiver that has seen older ones reads them from the store.
struct KnownRevisions {
  KindFreshness config;
  KindFreshness nodes;
  /// Revision of the owner table of the process's own service; none if it has no table.
  StoreRevision own_table;
  /// Time left on the process's lease when the frame is sent; 0 if it has none.
  Duration::rep lease_left_us = 0;
  /// Revision of the lease object that the lease is based on; none if it is not based on a renewal by this process.
  StoreRevision lease_revision;
  KindFreshness evacuations = {};
  /// Version of the active configuration where operators assign versions; 0 otherwise.
  ConfigVersion config_version = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(config, nodes, own_table, lease_left_us, lease_revision, evacuations, config_version);
  }
};

/// Owner of a key range according to an owner table that the receiver may not have read yet.
struct OwnerHint {
  /// Revision of the table; none if there is no hint.
  StoreRevision revision;
  Key first = 0;
  Key last = 0;
  InstanceId owner;
  NodeName node;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(revision, first, last, owner, node);
  }
};

/// Reply to a forward frame; exactly one is sent unless the stream breaks.
struct ForwardReplyFrame {
  ExchangeId exchange = 0;
  ForwardOutcome outcome = ForwardOutcome::Unknown;
  ForwardReason reason = ForwardReason::None;
  /// Whether any part of the request was sent to the server.
  bool reached_server = false;
  /// For refusals: suggested delay before a retry; 0 if unknown.
  Duration::rep retry_after_us = 0;
  /// Time that the server took; 0 if it did not answer.
  Duration::rep service_us = 0;
  ServerLoad load;
  KnownRevisions known;
  /// For refused requests with a key: the owner of the key, if known.
  OwnerHint hint;
  HttpResponse http;
  /// Monotonic time of the sender's node when the frame is sent; 0 if not stated.
  Duration::rep sent_at_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, outcome, reason, reached_server, retry_after_us, service_us, load, known, hint, http,
            sinceWireVersion(kRequestPartsWireVersion, sent_at_us));
  }
};

/// A part of a large reply frame. The parts of one reply arrive in order, possibly interleaved with other frames.
struct ReplyPartFrame {
  ExchangeId exchange = 0;
  /// Bytes of the encoded reply frame.
  std::string bytes;
  bool last = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, bytes, last);
  }
};

/// Cancels a forwarded request: the client disconnected or the deadline has passed.
struct CancelForwardFrame {
  ExchangeId exchange = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange);
  }
};

/// First frame on a stream, sent by both sides.
struct HelloFrame {
  /// The sender's node.
  NodeName node;
  Incarnation incarnation;
  /// Requests a snapshot, because the sender's cluster state is not complete yet. Set only by the accepting side.
  bool needs_snapshot = false;
  /// Sent by the connecting side: the node that it expects at the address. If the address now belongs to another node,
  /// that node ignores the frames of the stream.
  NodeName expected_node;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, incarnation, needs_snapshot, expected_node);
  }
};

/// The sender is shutting down and must not be sent new requests.
struct StoppingFrame {
  NodeName node;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(node);
  }
};

/// Asks for the state of a request whose stream broke. The receiver does not start the request afterwards.
struct ExchangeQueryFrame {
  ExchangeId exchange = 0;
  /// The sender's incarnation in which the exchange id was assigned.
  Incarnation incarnation;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, incarnation);
  }
};

enum class ExchangeState : std::uint8_t {
  NotStarted,  ///< and never will be started
  Pending,     ///< waiting or running; the reply will be sent on the stream of the query
  Answered,    ///< the reply was written to an earlier stream, or the request was given up after its stream broke
};

struct ExchangeQueryReplyFrame {
  ExchangeId exchange = 0;
  ExchangeState state = ExchangeState::Answered;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, state);
  }
};

/// Requests the receiver's active configuration if it is newer; answered with `ConfigFrame`.
struct ConfigRequestFrame {
  /// Version that is active at the sender.
  ConfigVersion known = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(known);
  }
};

/// All objects of the configuration that is active at the sender.
struct ConfigFrame {
  std::vector<ObjectCopy> parts;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(parts);
  }
};

/// Snapshot of what the sender has read from the store, for a process that starts while the store is unreachable.
struct ClusterSnapshotFrame {
  std::vector<ObjectCopy> config;
  std::vector<ObjectCopy> shared;
  /// One object per evacuated zone.
  std::vector<ObjectCopy> evacuations;
  /// Guaranteed remaining time of the lease that the receiver's node held before its restart; 0 if unknown.
  Duration::rep lease_left_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(config, shared, evacuations, lease_left_us);
  }
};

/// A store call that the receiver makes on behalf of the sender, which can't reach the store.
struct StoreCallFrame {
  ExchangeId exchange = 0;
  Duration::rep timeout_us = 0;
  HttpRequest http;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, timeout_us, http);
  }
};

struct StoreReplyFrame {
  ExchangeId exchange = 0;
  /// False if the call got no response.
  bool answered = false;
  HttpResponse http;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, answered, http);
  }
};

/// Liveness probe; answered immediately with `PongFrame`.
struct PingFrame {
  template <class Archive>
  void serialize(Archive&) {}
};

struct PongFrame {
  template <class Archive>
  void serialize(Archive&) {}
};

/// Asks the node that holds a tenant's quota for tokens, one for each request that is to be sent to a server.
struct QuotaRequestFrame {
  ExchangeId exchange = 0;
  TenantName tenant;
  std::uint32_t wanted = 0;
  /// Tokens that the sender got before and has not used.
  std::uint32_t returned = 0;
  /// The tenant's limits in the sender's configuration.
  std::uint64_t requests_per_1000_s = 0;
  std::uint64_t burst = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, tenant, wanted, returned, requests_per_1000_s, burst);
  }
};

struct QuotaGrantFrame {
  ExchangeId exchange = 0;
  /// Whether the sender holds the tenant's quota, as far as it knows; if not, nothing is granted.
  bool is_holder = false;
  std::uint32_t granted = 0;
  /// When a request without a token may come back.
  Duration::rep retry_after_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, is_holder, granted, retry_after_us);
  }
};

/// A frame of a kind that this build does not know; never sent.
struct UnknownFrame {
  template <class Archive>
  void serialize(Archive&) {}
};

/// New kinds of frames are added before `UnknownFrame`, which must be the last one.
using RouterFrame =
    std::variant<ForwardFrame, ForwardReplyFrame, CancelForwardFrame, HelloFrame, StoppingFrame, ExchangeQueryFrame,
                 ExchangeQueryReplyFrame, StoreCallFrame, StoreReplyFrame, OwnerTableFrame, ClusterSnapshotFrame,
                 PingFrame, PongFrame, ReplyPartFrame, OwnerTableRequestFrame, ServerCrashesFrame, ConfigRequestFrame,
                 ConfigFrame, OwnerTableDeltaFrame, QuotaRequestFrame, QuotaGrantFrame, ForwardPartFrame,
                 TableEditsFrame, TableEditsReplyFrame, PlacementPlanFrame, UnknownFrame>;

}  // namespace shedlever
