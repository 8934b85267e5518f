#pragma once

/// @file
/// Sends this process's edits of the owner table to the process that writes for all owners, and writes those of others.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "source/core/router/ownership/ownership_config.h"
#include "source/core/router/ownership/shared_writes/writer_selector.h"
#include "source/core/router/ownership/table_writer.h"

namespace shedlever {

/// No owner depends on the process that writes: one that gets no decision in time writes its edits itself. An edit
/// applies only to the state that it was made for, so both may write it.
class SharedWrites {
 public:
  using ReplyCallback = std::function<void(const std::optional<TableEditsReplyFrame>&)>;

  struct Ports {
    TableWriter* writer = nullptr;
    const MetadataStore* store = nullptr;
    const Clock* clock = nullptr;
    WriterSelector::Ports selector;
    /// Sends edits to the node. The callback runs once, never inside the call; it gets nothing if no reply arrives
    /// within the timeout. Empty: this process shares no writes.
    std::function<void(const NodeName&, const TableEditsFrame&, Duration timeout, ReplyCallback)> send;
    /// Edits were written for other processes.
    std::function<void(std::size_t changes, std::size_t edits)> on_batch;
    /// Edits were not written by another process: the next process is asked, or this one writes them.
    /// @param node that was asked; empty if none was.
    std::function<void(const std::string& reason, const NodeName& node)> on_fallback;
  };

  SharedWrites(NodeName self, ServiceName service, const OwnershipConfig& config, Ports ports);
  ~SharedWrites() { *alive_ = false; }
  SharedWrites(const SharedWrites&) = delete;
  SharedWrites& operator=(const SharedWrites&) = delete;

  /// Queues a change, which this process or another one writes.
  void change(std::vector<TableEdit> edits, TableWriter::Done done);

  /// Another process asks to write its edits.
  /// @param reply runs once, possibly inside the call.
  void onEdits(const TableEditsFrame& frame, std::function<void(const TableEditsReplyFrame&)> reply);

  /// Sends and writes what waits.
  void tick(TimePoint now);

 private:
  struct PendingChange {
    std::vector<TableEdit> edits;
    TableWriter::Done done;
    /// Epoch of the store in which the edits were made.
    StoreEpoch epoch = 0;
    TimePoint queued_at{};
    /// The node that the edits were sent to; empty before.
    NodeName node = {};
    /// How many nodes they were sent to.
    unsigned attempts = 0;
    /// Revision of this process's table when the edits were sent.
    StoreRevision known = {};
    /// Set by the reply; empty before.
    EditResults results = {};
    /// Revision of the table that the results hold for.
    StoreRevision decided_at = {};
    /// Until when the table of the reply may arrive.
    TimePoint table_deadline{};

    bool isDecided() const { return !results.empty(); }
  };

  bool isShared(const std::vector<TableEdit>& edits) const;
  /// Chooses who writes the changes that wait for that.
  void assignWaiting(TimePoint now);
  /// Sends the change to the process that writes, or has this process write it with the next batch.
  void assignWriter(std::uint64_t id, const WriterSelector::Selection& selection);
  void sendEdits(std::uint64_t id, const NodeName& node);
  void onReply(std::uint64_t id, const std::optional<TableEditsReplyFrame>& reply);
  /// @return why the reply decides nothing; empty if it decides.
  std::string findFault(const PendingChange& pending, const std::optional<TableEditsReplyFrame>& reply) const;
  /// The node did not decide: asks the next one, or writes the edits after several.
  void onNotDecided(std::uint64_t id, const std::string& reason, TimePoint now);
  /// Ends the decided changes whose table has arrived; falls back for those whose table is overdue.
  void finishOrFallBack(TimePoint now);
  /// Lets this process write the change.
  void fallBack(std::uint64_t id, const std::string& reason);
  TableEditsReplyFrame replyTo(std::uint64_t exchange, const EditResults& results) const;
  void writeBatch(TimePoint now);

  ServiceName service_;
  const OwnershipConfig& config_;
  Ports ports_;
  WriterSelector selector_;
  std::map<std::uint64_t, PendingChange> pending_;
  std::uint64_t last_id_ = 0;
  /// Changes that this process writes with the next batch.
  std::vector<TableWriter::Change> batch_;
  TimePoint next_batch_at_{};
  /// Of these, how many changes and edits are those of other processes.
  std::size_t changes_of_others_ = 0;
  std::size_t edits_of_others_ = 0;
  /// Set to false by the destructor, for replies that arrive afterwards.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
