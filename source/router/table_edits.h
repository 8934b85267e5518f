#pragma once

/// @file
/// Changes of an owner table that one process makes for the others of its service.

#include <functional>
#include <memory>
#include <unordered_map>

#include "source/core/router/ownership/write_combiner.h"
#include "source/core/router/ownership_keeper.h"
#include "source/router/event_log.h"
#include "source/router/peer_links.h"
#include "source/router/router_metrics.h"

namespace shedlever {

/// Both sides of it: asks the process that writes for all, and is it for others.
class TableEdits {
 public:
  struct Ports {
    EventLoop* loop = nullptr;
    const Clock* clock = nullptr;
    const ServerDirectory* directory = nullptr;
    PeerLinks* links = nullptr;
    EventLog* log = nullptr;
    RouterMetrics* metrics = nullptr;
    /// @return whether a server of the service runs beside this process and stays.
    std::function<bool()> serves;
    /// @return the owner of this process's table; null where its service is not divided by key.
    std::function<OwnershipKeeper*()> keeper;
    /// Sends a frame on another process's stream.
    std::function<void(std::uint64_t stream, const RouterFrame&)> send;
  };

  TableEdits(NodeName self, ServiceName service, Ports ports);
  ~TableEdits();
  TableEdits(const TableEdits&) = delete;
  TableEdits& operator=(const TableEdits&) = delete;

  /// As `TableWriter::EditElsewhere`.
  bool editElsewhere(const TableDelta& delta, StoreRevision known, FenceToken last_token,
                     std::function<void(const TableEditAnswer&)> answer);

  /// The process that was asked has answered.
  void onReply(const TableEditReplyFrame& reply);
  /// The node's process can't be reached.
  void onLost(const NodeName& node);
  /// Another process asks this one.
  void onEdit(std::uint64_t stream, const TableEditFrame& edit);

 private:
  struct Asked {
    NodeName node;
    std::function<void(const TableEditAnswer&)> answer;
    TimerId timer = 0;
  };

  void end(ExchangeId exchange, const TableEditAnswer& answer);
  void probe(ExchangeId exchange);
  void onSilence(ExchangeId exchange);
  void reply(std::uint64_t stream, const TableEditFrame& edit, TableEditStatus status) const;

  Ports ports_;
  WriteCombiner combiner_;
  std::unordered_map<ExchangeId, Asked> asked_;
  ExchangeId last_exchange_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
