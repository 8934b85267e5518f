#pragma once

/// @file
/// Reads and changes the owner table of one service in the metadata store, one change at a time.

#include <deque>
#include <functional>
#include <string>

#include "shedlever/metadata_store.h"
#include "source/core/router/owner_table.h"
#include "source/core/router/retry_backoff.h"

namespace shedlever {

/// Kind of the owner tables. All nodes watch it, without haste: who asks an owner in vain is told the next one, and who
/// is given keys is told so by the giver.
inline constexpr const char* kTableKind = "shedlever-tables";

/// @return name of a service's table object.
std::string ownerTableName(const ServiceName& service);

/// Holds the newest table known. A change is an edit that looks at the table and says whether it still applies; it is
/// made on the newest table until it is written, or until it applies no more. So a change whose answer was lost is
/// compared with what stands in the store before anything else is done.
class TableWriter {
 public:
  /// @return whether the edit changed the table. Must be safe to run on any later table.
  using Edit = std::function<bool(OwnerTable&)>;
  /// @param written whether the edit stands in the store now; false when it applied no more.
  using Done = std::function<void(bool written)>;

  /// What is done once the store has come back from a copy of an earlier state, which may hold an earlier table.
  struct RestoreDelays {
    /// Until this process reads the table again: not all do so at once.
    Duration read_delay{};
    /// Until it changes the table. Whoever holds a later table has written it again by then, and what was granted by
    /// changes that all processes have lost has run out.
    Duration change_delay{};
  };

  /// @param on_table runs after each newer table.
  TableWriter(ServiceName service, MetadataStore& store, std::function<void()> on_table);

  void setRestoreDelays(const RestoreDelays& times) { restore_delays_ = times; }

  /// A table was read or watched; older ones than the one held are ignored.
  void onObject(const MetadataObject& object);

  /// The kind was listed and holds no table.
  void onAbsent() { absence_known_ = true; }

  /// @return whether there is a table, or it is known that there is none.
  bool known() const { return !revision_.none() || absence_known_; }
  bool exists() const { return !revision_.none(); }
  const OwnerTable& table() const { return table_; }
  StoreRevision revision() const { return revision_; }

  /// Queues a change.
  void change(Edit edit, Done done);

  /// Creates the first table, unless there is one.
  void create(const OwnerTable& table);

  /// Tries again what had no answer, or was refused, once its backoff is over.
  void tick(TimePoint now);

  bool idle() const { return changes_.empty() && !in_flight_; }

  /// @return whether the store holds, or may hold, an earlier table than this one, or none: nothing is changed until
  ///   that is mended.
  bool awaitsRestore() const { return verified_epoch_ < store_.epoch() || !outdated_store_revision_.none(); }

 private:
  struct Change {
    Edit edit;
    Done done;
  };

  /// What stands in the store, as an answer to a call of this object tells.
  void onStored(const MetadataObject& object);
  void adopt(OwnerTable table, const StoreRevision& revision);
  void startNext();
  void write();
  /// Compares what the store holds since it has come back, and writes the table again if that is an earlier one.
  void restore();
  void rewriteTable();
  void recreateTable();
  /// Changes nothing but the table's epoch, so that processes that start from now on need not wait.
  void advanceTableEpoch();
  /// @return whether the table may be changed in the store's present epoch.
  bool mayChange() const;
  /// Notes since when the table is of an earlier epoch than the store.
  void trackTableEpoch(TimePoint now);
  /// @return whether the table was changed last in an earlier epoch than the store's, and this process has known so
  /// long.
  bool inEarlierEpochFor(Duration time) const;
  void onWritten(const StoreAnswer& answer);
  void rereadTable();
  void onTableReconciled(const StoreAnswer& answer);
  void finish(bool written);

  ServiceName service_;
  MetadataStore& store_;
  std::function<void()> on_table_;
  OwnerTable table_;
  StoreRevision revision_;
  bool absence_known_ = false;
  /// Conflicts since the last write that was done.
  unsigned conflicts_ = 0;
  std::deque<Change> changes_;
  bool in_flight_ = false;
  /// The first change had no answer: what stands must be read before it is tried again.
  bool must_reread_ = false;
  void backOff();

  RestoreDelays restore_delays_;
  /// Era in which the store's table is known not to be earlier than this one.
  StoreEpoch verified_epoch_ = 0;
  /// Where the store holds an earlier table than this one; none: it does not.
  StoreRevision outdated_store_revision_;
  /// The store's epoch at the last tick.
  StoreEpoch last_tick_epoch_ = 0;
  /// When it was seen that the table was changed last in an earlier epoch than this one of the store; zero: it was not.
  TimePoint earlier_epoch_since_{};

  /// The first change waits until a tick after this; zero: it does not wait.
  TimePoint delayed_until_{};
  TimePoint last_tick_{};
  RetryBackoff backoff_;
};

}  // namespace shedlever
