#pragma once

/// @file
/// Frames between router processes, over message streams. A frame arrives whole or not at all.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "shedlever/http_messages.h"
#include "shedlever/identifiers.h"
#include "shedlever/outcome.h"
#include "shedlever/router_config.h"
#include "shedlever/server_crashes.h"
#include "shedlever/store_revision.h"

namespace shedlever {

/// Names a request on its way between two processes; unique in one incarnation of the sender.
using ExchangeId = std::uint64_t;

/// Number of keys of a service that is divided by key.
inline constexpr std::uint32_t kKeyCount = 65536;
using Key = std::uint16_t;

/// A tenant's part in the queue of a server.
struct TenantShare {
  /// Empty: tenants are not told apart.
  TenantName name;
  /// Share of the queue, relative to the other tenants.
  std::uint32_t weight = 1;
  /// Requests of the tenant that may wait at one server; 0: no limit.
  std::uint32_t queue_limit = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, weight, queue_limit);
  }
};

/// A request for the server beside the receiving process.
struct ForwardFrame {
  ExchangeId exchange = 0;
  RequestId id;
  InstanceId instance;
  /// Name of its route.
  std::string route;
  RouteKind kind = RouteKind::AtMostOnce;
  std::uint32_t priority = 0;
  bool keyed = false;
  Key key = 0;
  /// What is left of the request's time when the frame is sent.
  Duration::rep remaining_us = 0;
  /// The route's latency objective.
  Duration::rep target_us = 0;
  /// How long the request's gateway has had it when this is sent.
  Duration::rep elapsed_us = 0;
  /// The service of the machine where the request began.
  ServiceName caller;
  TenantShare tenant;
  HttpRequest http;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, id, instance, route, kind, priority, keyed, key, remaining_us, target_us, elapsed_us, caller,
            tenant, http);
  }
};

/// What became of a forwarded request.
enum class ForwardOutcome : std::uint8_t {
  Answered,  ///< `http` is the server's whole answer
  NotRun,    ///< proved: the server has not run it and never will
  Unknown,   ///< it may have run
};

enum class ForwardReason : std::uint8_t {
  None,
  Overloaded,      ///< the queue is too long
  QueueFull,       ///< as many of the tenant's requests wait as may
  WrongInstance,   ///< another life of the server, or none
  NotOwner,        ///< the key is not held here
  NotYetOwner,     ///< the key comes here, its grant is under way
  Draining,        ///< the server is leaving
  ServerRefused,   ///< the server said that it did not run it
  ServerDown,      ///< the server can't be reached
  ConnectionLost,  ///< the connection to the server or to its process broke
  BrokenAnswer,    ///< the server's answer was cut short or made no sense
  TimedOut,
  Cancelled,
  NoInstance,   ///< no server of the service is known
  Quarantined,  ///< servers have ended while at work on the same request
  Evacuated,    ///< operators have asked that the servers of the zone get nothing
};

/// Last value, for the decoder.
inline constexpr ForwardReason kLastForwardReason = ForwardReason::Evacuated;

/// @return a word for logs and metrics.
const char* toString(ForwardReason reason);

/// @return what a client is told.
Reason reasonOf(ForwardReason reason);

/// Work at one server as its process counts it.
struct ServerLoad {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t slots = 0;
  /// How long large answers that are under way keep the machine's link busy, in milliseconds; 0 where the link is
  /// never the limit.
  std::uint32_t link_busy_ms = 0;
  /// Requests of a thousand that have failed at the server of late.
  std::uint32_t failed_permille = 0;
  /// Slots that all requests for the server's keys would keep busy, in hundredths; more than 100 times `slots` while
  /// some are refused. 0 for services that are not divided by key.
  std::uint32_t demand_hundredths = 0;
  /// Mean time that a request runs, in milliseconds.
  std::uint32_t mean_service_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(running, queued, slots, link_busy_ms, failed_permille, demand_hundredths, mean_service_ms);
  }
};

/// How new what a process knows of a kind of the store's objects is.
struct KindFreshness {
  /// Of the newest object that it has seen; none while there is none.
  StoreRevision revision;
  /// The store's revision up to which it has seen all changes of the kind; none: nothing is told.
  StoreRevision synced_revision;
  /// How long ago there was no newer one for sure, when the process tells this.
  Duration::rep staleness_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(revision, synced_revision, staleness_us);
  }
};

/// Newest objects of the store that a process has seen; who has seen less asks the store.
struct KnownRevisions {
  KindFreshness config;
  KindFreshness nodes;
  /// Of the owner table of the service that the process's server belongs to; none when it has none.
  StoreRevision own_table;
  /// What is left of the process's lease when it tells this; 0 when it has none.
  Duration::rep lease_left_us = 0;
  /// Of the lease object that this rests on; none when it does not rest on a renewal of this process.
  StoreRevision lease_revision;
  KindFreshness evacuations = {};
  /// Of the configuration in force, where operators count versions; 0 otherwise.
  ConfigVersion config_version = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(config, nodes, own_table, lease_left_us, lease_revision, evacuations, config_version);
  }
};

/// Who owns some keys, from an owner table that the receiver may not have read yet.
struct OwnerHint {
  /// Revision of the table; none: there is no hint.
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

/// Exactly one for each forward frame, while the stream lives.
struct ForwardReplyFrame {
  ExchangeId exchange = 0;
  ForwardOutcome outcome = ForwardOutcome::Unknown;
  ForwardReason reason = ForwardReason::None;
  /// Whether the request was sent to the server at all.
  bool reached_server = false;
  /// When to come back, for refusals; 0 when nothing is known.
  Duration::rep retry_after_us = 0;
  /// Time that the server took; 0 when it did not run.
  Duration::rep service_us = 0;
  ServerLoad load;
  KnownRevisions known;
  /// With NotOwner: who owns the key.
  OwnerHint hint;
  HttpResponse http;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, outcome, reason, reached_server, retry_after_us, service_us, load, known, hint, http);
  }
};

/// A piece of a large reply frame. The pieces of one reply come in order, with other frames between them.
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

/// The client went away, or its time is over.
struct CancelForwardFrame {
  ExchangeId exchange = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange);
  }
};

/// First frame on a stream, from both sides.
struct HelloFrame {
  /// The process that says it.
  NodeName node;
  Incarnation incarnation;
  /// The process has just started and the store has told it nothing yet.
  bool needs_state = false;
  /// From the side that connects: the node it means to reach. Its address may be another node's by now, which then
  /// takes nothing from the stream.
  NodeName expected_node;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, incarnation, needs_state, expected_node);
  }
};

/// The sender's process is stopping: send it nothing new.
struct StoppingFrame {
  NodeName node;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(node);
  }
};

/// Asks what became of a request whose stream broke. The receiver never begins it afterwards.
struct ExchangeQueryFrame {
  ExchangeId exchange = 0;
  /// The sender's incarnation that numbered the exchange.
  Incarnation incarnation;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, incarnation);
  }
};

enum class ExchangeState : std::uint8_t {
  NotStarted,  ///< and never will be
  Pending,     ///< waits or runs: the reply comes on the stream that asked
  Answered,    ///< its reply was written to the stream that broke, and is lost
};

struct ExchangeQueryReplyFrame {
  ExchangeId exchange = 0;
  ExchangeState state = ExchangeState::Answered;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, state);
  }
};

/// An object of the store.
struct ObjectCopy {
  std::string name;
  StoreRevision revision;
  std::string value;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, revision, value);
  }
};

/// Asks a process for the owner table of its own service, if it has a newer one; answered with `OwnerTableFrame`.
struct OwnerTableRequestFrame {
  /// Revision that the sender has; none while it has no table.
  StoreRevision known;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(known);
  }
};

/// An owner table: one that the sender has just written, for those that it gives keys to, or one that was asked for.
struct OwnerTableFrame {
  ObjectCopy table;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(table);
  }
};

/// Asks a process for the configuration in force there, if it is a later one; answered with `ConfigFrame`.
struct ConfigRequestFrame {
  /// Version in force at the sender.
  ConfigVersion known = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(known);
  }
};

/// All parts of the configuration in force at the sender.
struct ConfigFrame {
  std::vector<ObjectCopy> parts;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(parts);
  }
};

/// What the sender has read from the store, for a process that has started while the store can't be reached.
struct ClusterSnapshotFrame {
  std::vector<ObjectCopy> config;
  std::vector<ObjectCopy> shared;
  /// One object for each evacuated zone.
  std::vector<ObjectCopy> evacuations;
  /// What is left for sure of the lease that the receiver's node had before; 0 when nothing is known.
  Duration::rep lease_left_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(config, shared, evacuations, lease_left_us);
  }
};

/// A call to the store on behalf of a process that can't reach it.
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
  /// False: the call got no answer.
  bool answered = false;
  HttpResponse http;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, answered, http);
  }
};

/// Asks whether the other process is there; answered at once with `PongFrame`.
struct PingFrame {
  template <class Archive>
  void serialize(Archive&) {}
};

struct PongFrame {
  template <class Archive>
  void serialize(Archive&) {}
};

using RouterFrame = std::variant<ForwardFrame, ForwardReplyFrame, CancelForwardFrame, HelloFrame, StoppingFrame,
                                 ExchangeQueryFrame, ExchangeQueryReplyFrame, StoreCallFrame, StoreReplyFrame,
                                 OwnerTableFrame, ClusterSnapshotFrame, PingFrame, PongFrame, ReplyPartFrame,
                                 OwnerTableRequestFrame, ServerCrashesFrame, ConfigRequestFrame, ConfigFrame>;

}  // namespace shedlever
