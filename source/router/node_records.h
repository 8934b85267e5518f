#pragma once

/// @file
/// The node record by which routers discover each other, and the publisher of this node's own record.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "shedlever/metadata_store.h"
#include "source/core/router/directory/server_directory.h"
#include "source/core/router/store/retry_backoff.h"
#include "source/net/event_loop.h"
#include "source/router/event_log.h"

namespace shedlever {

/// Kind of the node records, watched by all nodes.
inline constexpr const char* kNodeKind = "shedlever-nodes";

/// @return the record as JSON.
std::string encodeNodeRecord(const NodeRecord& record);
/// @return the record; none if the text is not a valid record.
std::optional<NodeRecord> decodeNodeRecord(const std::string& text);

/// @return the name of a node's record object.
std::string nodeRecordName(const NodeName& node);

/// Writes this node's record to the store whenever it changes; retries until the write succeeds.
class NodeRecordPublisher {
 public:
  struct Events {
    /// The store had no record of this node.
    std::function<void()> on_no_previous_record;
    /// An earlier incarnation of the process has left a record in the store, which is now overwritten. The argument is
    /// std::nullopt if it could not be decoded.
    std::function<void(const std::optional<NodeRecord>&)> on_previous_record;
    /// The store has acknowledged a record.
    std::function<void()> on_written;
  };

  NodeRecordPublisher(EventLoop& loop, MetadataStore& store, EventLog& log, Events events);
  ~NodeRecordPublisher() { *alive_ = false; }

  /// Does not write a record that equals the last written one.
  void publish(const NodeRecord& record);

  /// @return the record that the store has acknowledged last; std::nullopt if it has none, or a restored store may have
  ///   lost it.
  const std::optional<NodeRecord>& written() const { return written_; }

  /// Writes the record again if the restored store has a different one or none.
  /// @param stored record of this node in the restored store; null if there is none.
  void onStoreRestored(const NodeRecord* stored);

 private:
  void write();
  void onAnswer(const StoreAnswer& answer);
  /// @param previous the record that the store has in the place of a new one; std::nullopt if it could not be decoded.
  void onPreviousRecord(const std::optional<NodeRecord>& previous);

  EventLoop& loop_;
  MetadataStore& store_;
  EventLog& log_;
  Events events_;
  RetryBackoff backoff_;
  std::optional<NodeRecord> desired_;
  std::optional<NodeRecord> written_;
  NodeRecord in_flight_record_;
  bool in_flight_ = false;
  bool record_exists_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
