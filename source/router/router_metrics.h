#pragma once

/// @file
/// Prometheus counters, gauges and histograms of a router process.

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "shedlever/router_config.h"
#include "shedlever/router_frames.h"
#include "shedlever/server_commands.h"
#include "shedlever/time.h"
#include "source/core/router/ownership/heartbeat_grants.h"
#include "source/core/router/ownership/placement/placement_event.h"

namespace shedlever {

/// The end of a client's request.
struct RequestEnd {
  const ServiceName& service;
  const std::string& route;
  /// "answered", "refused", "failed", ...
  std::string_view outcome;
  ForwardReason reason = ForwardReason::None;
  /// Time from the request's arrival to its final response.
  Duration elapsed{};
};

/// Values of the gauges at the time of a scrape.
struct RouterGauges {
  ServerLoad load;
  /// Requests per second that the local server takes, as it names them.
  std::optional<double> named_limit;
  /// Bytes of large requests that were sent to nodes with limited links and have not arrived.
  std::size_t link_bytes_under_way = 0;
  std::size_t in_flight = 0;
  std::size_t nodes = 0;
  std::size_t peer_streams = 0;
  /// How late frames from other nodes arrive.
  Duration arrival_delay{};
  ConfigVersion config_version = 0;
  /// Time since the active configuration was adopted.
  Duration config_age{};
  /// Time since the known configuration and node records were last known to be current.
  Duration config_staleness{};
  Duration nodes_staleness{};
  std::uint64_t owner_table_revision = 0;
  StoreEpoch store_epoch = 0;
  std::size_t owned_ranges = 0;
  /// For a server that receives its keys by heartbeat.
  HeartbeatGrantCounts heartbeats;
  Duration lease_left{};
  bool store_reached = false;
  std::uint64_t log_lines_dropped = 0;
  /// Number of quarantined requests and of remembered server crashes.
  std::size_t quarantined = 0;
  std::size_t server_crashes = 0;
};

class RouterMetrics {
 public:
  RouterMetrics();

  /// A client's request was sent its final response.
  void onRequest(const RequestEnd& end);
  /// A client's request was refused before it was dispatched.
  void onRefusedAtOnce(Reason reason);
  /// An attempt did not end its request.
  void onRetry(ForwardReason reason);
  /// The gate refused a request.
  void onGateRefusal(ForwardReason reason);
  /// A request that was sent to the local server has ended.
  void onServerRequestEnd(ForwardOutcome outcome, ForwardReason reason, Duration queued, Duration ran);
  /// A call to the store has ended. @param status of the response; 0 if there was none.
  void onStoreCall(const std::string& method, int status, Duration took);
  /// A frame of this encoded size was queued for a peer.
  void onFrameSent(const RouterFrame& frame, std::size_t bytes);
  /// Flows of a plan for the service were planned, carried out or dropped here.
  void onPlacement(const PlacementEvent& event);
  /// A grant command to the server has ended. @param took time from the sending to the answer or the timeout.
  void onGrant(CommandStatus status, Duration took);
  /// A release command to the server has ended.
  void onRelease(CommandStatus status);
  /// An event occurred that changes the state of the process.
  void onEvent(const std::string& event);

  /// @return all metrics in the Prometheus text format.
  std::string text(const RouterGauges& gauges);

 private:
  using Counters = std::map<std::string, prometheus::Counter*, std::less<>>;

  /// Counters distinguished by labels, cached by a string key because a lookup by labels is expensive.
  struct CounterFamily {
    prometheus::Family<prometheus::Counter>& family;
    Counters by_key;

    prometheus::Counter& at(const std::string& key, const std::function<prometheus::Labels()>& labels);
    prometheus::Counter& at(const char* label, const std::string& value);
  };

  CounterFamily counters(const char* name, const char* help);
  prometheus::Gauge& gauge(const char* name, const char* help);
  prometheus::Histogram& routeHistogram(const std::string& route);

  prometheus::Registry registry_;
  CounterFamily requests_;
  CounterFamily refused_at_once_;
  CounterFamily retries_;
  CounterFamily gate_refusals_;
  CounterFamily server_requests_;
  CounterFamily store_calls_;
  CounterFamily events_;
  CounterFamily placement_moves_;
  CounterFamily grants_;
  CounterFamily releases_;
  prometheus::Family<prometheus::Counter>& peer_sent_bytes_;
  /// Indexed by the kind of frame; null until a frame of the kind is sent.
  std::array<prometheus::Counter*, std::variant_size_v<RouterFrame>> peer_sent_bytes_by_kind_{};
  prometheus::Family<prometheus::Histogram>& request_seconds_;
  std::map<std::string, prometheus::Histogram*, std::less<>> request_seconds_by_route_;
  prometheus::Histogram& queued_;
  prometheus::Histogram& ran_;
  prometheus::Histogram& store_seconds_;
  prometheus::Histogram& grant_seconds_;
  prometheus::Gauge& slots_;
  prometheus::Gauge& named_limit_;
  prometheus::Gauge& running_;
  prometheus::Gauge& waiting_;
  prometheus::Gauge& link_wait_;
  prometheus::Gauge& link_bytes_under_way_;
  prometheus::Gauge& in_flight_;
  prometheus::Gauge& nodes_;
  prometheus::Gauge& peer_streams_;
  prometheus::Gauge& arrival_delay_;
  prometheus::Gauge& config_version_;
  prometheus::Gauge& config_age_;
  prometheus::Gauge& config_staleness_;
  prometheus::Gauge& nodes_staleness_;
  prometheus::Gauge& owner_table_;
  prometheus::Gauge& store_epoch_;
  prometheus::Gauge& owned_ranges_;
  prometheus::Gauge& acknowledgements_;
  prometheus::Gauge& keyless_acknowledgements_;
  prometheus::Gauge& released_;
  prometheus::Gauge& lapsed_;
  prometheus::Gauge& lease_left_;
  prometheus::Gauge& store_reached_;
  prometheus::Gauge& log_lines_dropped_;
  prometheus::Gauge& quarantined_;
  prometheus::Gauge& server_crashes_remembered_;
};

}  // namespace shedlever
