#pragma once

/// @file
/// One frame of each kind, with a value in each field. The same source makes the stored bytes of earlier builds (see
/// test/net/frame_samples/README.md), so it uses only what these know.

#include <string>
#include <utility>
#include <vector>

#include "shedlever/router_frames.h"
#include "shedlever/wire_version.h"

namespace shedlever::test {

struct FrameSample {
  std::string name;
  RouterFrame frame;
};

inline ForwardFrame forwardSample() {
  ForwardFrame frame;
  frame.exchange = 700;
  frame.id = RequestId("id-1");
  frame.instance = InstanceId("i-1/12");
  frame.route = "route";
  frame.kind = RouteKind::Idempotent;
  frame.priority = 2;
  frame.keyed = true;
  frame.key = 65535;
  frame.remaining_us = 1'234'567;
  frame.target_us = 300'000;
  frame.elapsed_us = 40'000;
  frame.caller = ServiceName("maps");
  frame.tenant = {TenantName("firm"), 3, 40};
  frame.http = {"POST", "/a?b", {{"Host", "h"}, {"X", ""}}, "body"};
  return frame;
}

inline ForwardReplyFrame replySample() {
  ForwardReplyFrame frame;
  frame.exchange = 700;
  frame.outcome = ForwardOutcome::NotRun;
  frame.reason = ForwardReason::Evacuated;
  frame.reached_server = true;
  frame.retry_after_us = 200'000;
  frame.service_us = 90'000;
  frame.load.running = 3;
  frame.load.queued = 4;
  frame.load.slots = 18;
  frame.load.link_busy_ms = 7;
  frame.load.failed_permille = 12;
  frame.load.demand_hundredths = 555;
  frame.load.mean_service_ms = 91;
  frame.known.config = {{1, 9}, {1, 12}, 1500};
  frame.known.nodes = {{1, 10}, {1, 13}, 1600};
  frame.known.own_table = {1, 14};
  frame.known.lease_left_us = 9'000'000;
  frame.known.lease_revision = {1, 15};
  frame.known.evacuations = {{1, 2}, {1, 16}, 1700};
  frame.known.config_version = 31;
  frame.hint = {{1, 11}, 100, 199, InstanceId("i-9"), NodeName("n-9")};
  frame.http = {200, {{"X-Request-Id", "id-1"}}, "answer"};
  return frame;
}

inline ServerCrashesFrame crashesSample() {
  ServerCrashesFrame frame;
  ServerCrash crash;
  crash.id = {InstanceId("i-3"), 1'700'000'000'000'000};
  crash.age_us = 5'000;
  crash.unanswered = {{1, 2}, {3, 4}};
  frame.crashes = {crash};
  ServedSuspect served;
  served.request = {5, 6};
  served.seen_at_us = 1'700'000'000'000'001;
  served.age_us = 6'000;
  frame.served = {served};
  return frame;
}

inline ClusterSnapshotFrame snapshotSample() {
  ClusterSnapshotFrame frame;
  frame.config = {{"main", {1, 9}, "{}"}};
  frame.shared = {{"node-a", {1, 10}, "{\"node\":\"a\"}"}};
  frame.evacuations = {{"zone", {1, 2}, "{}"}};
  frame.lease_left_us = 8'000'000;
  return frame;
}

inline QuotaRequestFrame quotaRequestSample() {
  QuotaRequestFrame frame;
  frame.exchange = 702;
  frame.tenant = TenantName("firm");
  frame.wanted = 3;
  frame.returned = 1;
  frame.requests_per_1000_s = 128'500;
  frame.burst = 64;
  return frame;
}

/// All kinds that builds of version 5 know, without fields that later ones added.
inline std::vector<FrameSample> firstFrameSamples() {
  const HttpRequest store_request{"GET", "/objects/x", {}, {}};
  OwnerTableRequestFrame table_request;
  table_request.known = {1, 14};
  return {{"forward", forwardSample()},
          {"reply", replySample()},
          {"cancel", CancelForwardFrame{700}},
          {"hello", HelloFrame{NodeName("n-1"), Incarnation{77}, true, NodeName("n-2")}},
          {"stopping", StoppingFrame{NodeName("n-1")}},
          {"exchange-query", ExchangeQueryFrame{700, Incarnation{77}}},
          {"exchange-query-reply", ExchangeQueryReplyFrame{700, ExchangeState::Pending}},
          {"store-call", StoreCallFrame{701, 1'200'000, store_request}},
          {"store-reply", StoreReplyFrame{701, true, {404, {}, "{}"}}},
          {"owner-table", OwnerTableFrame{{"owners-maps", {1, 14}, "{}"}}},
          {"snapshot", snapshotSample()},
          {"ping", PingFrame{}},
          {"pong", PongFrame{}},
          {"reply-part", ReplyPartFrame{700, "bytes", true}},
          {"owner-table-request", table_request},
          {"server-crashes", crashesSample()},
          {"config-request", ConfigRequestFrame{31}},
          {"config", ConfigFrame{{{"main", {1, 9}, "{}"}}}}};
}

/// Fields that came with version 8.
inline ForwardFrame forwardSampleSince8() {
  ForwardFrame frame = forwardSample();
  frame.sent_at_us = 5'000'000'123;
  return frame;
}

inline ForwardReplyFrame replySampleSince8() {
  ForwardReplyFrame frame = replySample();
  frame.load.link_kbytes_per_s = 1'250;
  frame.load.arrival_delay_ms = 35;
  frame.sent_at_us = 5'000'090'456;
  return frame;
}

inline TableEditsFrame tableEditsSample() {
  TableEditEntry release;
  release.expected = {100, 199, InstanceId("i-1"), 41, false};
  release.first = 120;
  release.last = 140;
  TableEditEntry assign;
  assign.kind = TableEditKind::Assign;
  assign.expected = {200, 299, InstanceId("i-1"), 42, true};
  assign.first = 200;
  assign.last = 299;
  assign.owner = InstanceId("i-2");
  assign.node = NodeName("n-2");
  assign.handover = "state";
  assign.rate = 17;
  return {703, ServiceName("maps"), {release, assign}, 1, {{1, 16}, {5, 65535, 300}}};
}

/// All kinds that builds of the version know.
inline std::vector<FrameSample> frameSamples(WireVersion version) {
  std::vector<FrameSample> samples = firstFrameSamples();
  if (version >= kExtensibleWireVersion) {
    samples.push_back({"quota-request", quotaRequestSample()});
    samples.push_back({"quota-grant", QuotaGrantFrame{702, true, 2, 250'000}});
  }
  if (version >= kRequestPartsWireVersion) {
    samples.push_back({"forward-sent-at", forwardSampleSince8()});
    samples.push_back({"reply-sent-at", replySampleSince8()});
    samples.push_back({"request-part", ForwardPartFrame{700, "bytes", true}});
    samples.push_back({"table-edits", tableEditsSample()});
    samples.push_back({"table-edits-reply", TableEditsReplyFrame{703, true, {true, false}, {1, 17}}});
    samples.push_back(
        {"placement-plan",
         PlacementPlanFrame{ServiceName("maps"), InstanceId("i-1"), 4, {{InstanceId("i-2"), NodeName("n-2"), 130}}}});
  }
  return samples;
}

}  // namespace shedlever::test
