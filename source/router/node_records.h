#pragma once

/// @file
/// The record by which nodes know each other, and writing this node's own.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "shedlever/metadata_store.h"
#include "source/core/router/retry_backoff.h"
#include "source/core/router/server_directory.h"
#include "source/net/event_loop.h"
#include "source/router/event_log.h"

namespace shedlever {

/// Kind of the node records. All nodes watch it.
inline constexpr const char* kNodeKind = "shedlever-nodes";

/// @return JSON text of a node's record.
std::string encodeNodeRecord(const NodeRecord& record);
/// @return the record; none for text that can't be read.
std::optional<NodeRecord> decodeNodeRecord(const std::string& text);

/// Name of a node's record in the shared kind.
std::string nodeRecordName(const NodeName& node);

/// Writes this node's record whenever it changes, until the store has it.
class NodeRecordPublisher {
 public:
  /// @param on_previous_record the store has this record of the node already: an earlier life of the process wrote it.
  NodeRecordPublisher(EventLoop& loop, MetadataStore& store, EventLog& log,
                      std::function<void(const NodeRecord&)> on_previous_record);
  ~NodeRecordPublisher() { *alive_ = false; }

  /// A record that is equal to the last one is not written again.
  void publish(const NodeRecord& record);

  /// The store has come back from a copy. @param stored record of this node in it; null if it has none.
  void onStoreRestored(const NodeRecord* stored);

 private:
  void write();
  void onAnswer(const StoreAnswer& answer);

  EventLoop& loop_;
  MetadataStore& store_;
  EventLog& log_;
  std::function<void(const NodeRecord&)> on_previous_record_;
  RetryBackoff backoff_;
  std::optional<NodeRecord> desired_;
  std::optional<NodeRecord> written_;
  NodeRecord in_flight_record_;
  bool in_flight_ = false;
  bool record_exists_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
