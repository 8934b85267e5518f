#include "source/core/router/frame_name.h"

#include <variant>

namespace shedlever {

namespace {

/// One overload per kind, so that a kind without a name does not compile.
struct FrameName {
  const char* operator()(const ForwardFrame&) const { return "request"; }
  const char* operator()(const ForwardReplyFrame&) const { return "reply"; }
  const char* operator()(const CancelForwardFrame&) const { return "cancel"; }
  const char* operator()(const HelloFrame&) const { return "hello"; }
  const char* operator()(const StoppingFrame&) const { return "stopping"; }
  const char* operator()(const ExchangeQueryFrame&) const { return "exchange-query"; }
  const char* operator()(const ExchangeQueryReplyFrame&) const { return "exchange-query-reply"; }
  const char* operator()(const StoreCallFrame&) const { return "store-call"; }
  const char* operator()(const StoreReplyFrame&) const { return "store-reply"; }
  const char* operator()(const OwnerTableFrame&) const { return "owner-table"; }
  const char* operator()(const ClusterSnapshotFrame&) const { return "snapshot"; }
  const char* operator()(const PingFrame&) const { return "ping"; }
  const char* operator()(const PongFrame&) const { return "pong"; }
  const char* operator()(const ReplyPartFrame&) const { return "reply-part"; }
  const char* operator()(const OwnerTableRequestFrame&) const { return "owner-table-request"; }
  const char* operator()(const ServerCrashesFrame&) const { return "server-crashes"; }
  const char* operator()(const ConfigRequestFrame&) const { return "config-request"; }
  const char* operator()(const ConfigFrame&) const { return "config"; }
  const char* operator()(const OwnerTableDeltaFrame&) const { return "owner-table-delta"; }
  const char* operator()(const QuotaRequestFrame&) const { return "quota-request"; }
  const char* operator()(const QuotaGrantFrame&) const { return "quota-grant"; }
  const char* operator()(const ForwardPartFrame&) const { return "request-part"; }
  const char* operator()(const TableEditsFrame&) const { return "table-edits"; }
  const char* operator()(const TableEditsReplyFrame&) const { return "table-edits-reply"; }
  const char* operator()(const PlacementPlanFrame&) const { return "placement-plan"; }
  const char* operator()(const UnknownFrame&) const { return "unknown"; }
};

}  // namespace

const char* frameName(const RouterFrame& frame) { return std::visit(FrameName{}, frame); }

}  // namespace shedlever
