#pragma once

/// @file
/// Reads and changes the owner table of one service in the metadata store.

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "shedlever/metadata_store.h"
#include "source/core/router/ownership/owner_table.h"
#include "source/core/router/ownership/table_edit.h"
#include "source/core/router/store/retry_backoff.h"

namespace shedlever {

/// Kind of the owner tables. Nodes need not read changes at once: a process that contacts the wrong owner gets a hint,
/// and a node that receives keys gets the table from the previous owner.
inline constexpr const char* kTableKind = "shedlever-tables";

/// @return the name of the service's table object.
std::string ownerTableName(const ServiceName& service);

/// Holds the newest known table. A change is a list of edits that are applied to the newest table until it is written
/// or none of them applies. A write without an answer may have succeeded, so the table is read from the store before
/// anything else is done. All changes that wait go in one write.
class TableWriter {
 public:
  /// Receives one result for each edit of the change.
  using Done = std::function<void(const EditResults&)>;

  /// A table and its revision.
  struct Version {
    StoreRevision revision;
    OwnerTable table;
  };

  /// Delays after the store has been restored from a backup, which may hold an earlier table.
  struct RestoreDelays {
    /// Before this process reads the table again; differs between processes to spread the load.
    Duration read_delay{};
    /// Before this process changes the table. By then any process with a later table has written it again, and grants
    /// under changes that all processes have lost have expired.
    Duration change_delay{};
  };

  /// @param on_table runs after each newer table.
  TableWriter(ServiceName service, MetadataStore& store, std::function<void()> on_table);

  void setRestoreDelays(const RestoreDelays& times) { restore_delays_ = times; }

  /// Handles a table that was read or watched; ignored if older than the known one.
  void onObject(const MetadataObject& object);

  /// The kind was listed and contains no table.
  void onAbsent() { absence_known_ = true; }

  /// @return whether there is a table, or it is known that there is none.
  bool known() const { return !revision_.none() || absence_known_; }
  bool exists() const { return !revision_.none(); }
  const OwnerTable& table() const { return table_; }
  StoreRevision revision() const { return revision_; }

  /// A list of edits and the callback for their results.
  struct Change {
    std::vector<TableEdit> edits;
    Done done;
    /// If set, the edits are applied only in this epoch of the store.
    std::optional<StoreEpoch> epoch = std::nullopt;
    /// What the last attempt to write did with each edit.
    EditResults results = {};
  };

  /// Queues a change.
  void change(std::vector<TableEdit> edits, Done done);

  /// Queues changes that go in one write.
  void change(std::vector<Change> changes);

  /// Reads the table from the store before the next change.
  void requireRead() { must_reread_ = true; }

  /// @return the version that was known before the newest one.
  const Version& previousVersion() const { return previous_version_; }

  /// Creates the initial table unless there is one. @return whether the call was sent.
  bool create(const OwnerTable& table);

  /// Retries calls that were refused or got no answer, once their backoff is over.
  void tick(TimePoint now);

  /// @return the number of changes that are not written yet.
  std::size_t waitingChanges() const { return changes_.size(); }

  bool idle() const { return changes_.empty() && !in_flight_; }

  /// @return whether the store holds, or may hold, an earlier table than this one or none; no changes are made until
  ///   this is repaired.
  bool awaitsRestore() const { return verified_epoch_ < store_.epoch() || !outdated_store_revision_.none(); }

 private:
  /// Handles the state of the table in the store, as contained in an answer to a call of this object.
  void onStored(const MetadataObject& object);
  void adopt(OwnerTable table, const StoreRevision& revision);
  void startNext();
  void write();
  /// Compares the known table with the one in the restored store, and writes it again if the store's is older.
  void restore();
  void rewriteTable();
  void recreateTable();
  /// Changes only the epoch of the table, so that processes that start later need not wait.
  void advanceTableEpoch();
  /// @return whether the table may be changed in the present epoch of the store.
  bool mayChange() const;
  /// Tracks since when the table has been of an earlier epoch than the store.
  void trackTableEpoch(TimePoint now);
  /// @return whether the table has been known for this long to be of an earlier epoch than the store.
  bool inEarlierEpochFor(Duration time) const;
  void onWritten(const StoreAnswer& answer);
  void rereadTable();
  void onTableReconciled(const StoreAnswer& answer);
  /// Ends the changes of the batch.
  void finishBatch();

  ServiceName service_;
  MetadataStore& store_;
  std::function<void()> on_table_;
  OwnerTable table_;
  StoreRevision revision_;
  bool absence_known_ = false;
  /// Conflicts since the last successful write.
  unsigned conflicts_ = 0;
  Version previous_version_;
  /// Changes in order; the first `batch_size_` of them were applied for the last write.
  std::deque<Change> changes_;
  std::size_t batch_size_ = 0;
  /// The callbacks of a batch are running; the next write waits for them.
  bool finishing_ = false;
  bool in_flight_ = false;
  /// The table must be read before the changes are written, for example because a write got no answer.
  bool must_reread_ = false;
  void backOff();

  RestoreDelays restore_delays_;
  /// Last epoch in which the store's table was verified not to be older than this one.
  StoreEpoch verified_epoch_ = 0;
  /// Revision of the store's table if it is older than this one; none otherwise.
  StoreRevision outdated_store_revision_;
  /// Epoch of the store at the last tick.
  StoreEpoch last_tick_epoch_ = 0;
  /// Time at which the table was first seen to be of an earlier epoch than the present one of the store; zero: it is
  /// not.
  TimePoint earlier_epoch_since_{};

  /// The changes wait for a tick after this time; zero: they do not wait.
  TimePoint delayed_until_{};
  TimePoint last_tick_{};
  RetryBackoff backoff_;
};

}  // namespace shedlever
