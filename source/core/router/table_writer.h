#pragma once

/// @file
/// Reads and changes the owner table of one service in the metadata store, one change at a time.

#include <deque>
#include <functional>
#include <string>

#include "shedlever/metadata_store.h"
#include "shedlever/router_frames.h"
#include "source/core/router/owner_table.h"
#include "source/core/router/retry_backoff.h"

namespace shedlever {

/// Kind of the owner tables. All nodes watch it, without haste: who asks an owner in vain is told the next one, and who
/// is given keys is told so by the giver.
inline constexpr const char* kTableKind = "shedlever-tables";

/// @return name of a service's table object.
std::string ownerTableName(const ServiceName& service);

/// How a change that another process was asked to make has ended.
struct TableEditAnswer {
  TableEditStatus status = TableEditStatus::Unknown;
  /// What has changed in the table since the revision that was known; revision 0 if nothing was told.
  TableRows table;
};

/// Holds the newest table known. A change is an edit that looks at the table and says whether it still applies; it is
/// made on the newest table until it is written, or until it applies no more. So a change whose answer was lost is
/// compared with what stands in the store before anything else is done. Changes that wait are written together.
///
/// Where many owners change one table, most writes would meet another's, as each owner reads what the others wrote only
/// when its own write fails. So one process may write for all; nobody needs it: who has no answer from it reads the
/// table and writes by itself.
class TableWriter {
 public:
  /// @return whether the edit changed the table. Must be safe to run on any later table.
  using Edit = std::function<bool(OwnerTable&)>;
  /// @param written whether the edit stands in the store now; false when it applied no more.
  using Done = std::function<void(bool written)>;
  /// Asks another process to make a change.
  /// @param known revision of the table that it was worked out on. @param last_token given out in that.
  /// @param answer runs once, never inside the call.
  /// @return false when there is none to be asked; `answer` never runs then.
  using EditElsewhere = std::function<bool(const TableDelta&, StoreRevision known, FenceToken last_token,
                                           std::function<void(const TableEditAnswer&)> answer)>;

  /// Who may make a change.
  enum class Way : std::uint8_t {
    Any,     ///< this process or another one, also late, as the change says which rows it rests on
    Direct,  ///< this process alone: it rests on more than rows
  };

  /// @param on_table runs after each newer table.
  TableWriter(ServiceName service, MetadataStore& store, std::function<void()> on_table);

  /// A table was read or watched; older ones than the one held are ignored.
  void onObject(const MetadataObject& object);

  /// Another process has told what has changed. The table that this makes knows all owners, but is not the store's word
  /// for word: the store is read before this process writes it.
  /// @return false when changes are missing between the table held and these.
  bool onRows(const TableRows& rows);
  /// @return what has changed since that token was the last one given out.
  TableRows rowsAfter(FenceToken token) const;
  /// @return what to tell who asked for a change: what has changed since its version, and the rows at its keys.
  TableRows rowsFor(const TableEditFrame& edit) const;

  /// The kind was listed and holds no table.
  void onAbsent() { absence_known_ = true; }

  /// @return whether there is a table, or it is known that there is none.
  bool known() const { return exists() || absence_known_; }
  bool exists() const { return revision_ != 0; }
  const OwnerTable& table() const { return table_; }
  StoreRevision revision() const { return revision_; }

  void setEditElsewhere(EditElsewhere edit_elsewhere) { edit_elsewhere_ = std::move(edit_elsewhere); }

  /// Queues a change.
  void change(Edit edit, Done done, Way way = Way::Any);

  /// Queues a change for another process. It is written with others, at most once in a while.
  void changeForOther(const TableDelta& delta, Done done);

  /// @return changes that are not written yet.
  std::size_t waiting() const { return changes_.size(); }

  /// Creates the first table, unless there is one.
  void create(const OwnerTable& table);

  /// Tries again what had no answer, or was refused, once its backoff is over.
  void tick(TimePoint now);

  bool idle() const { return changes_.empty() && !in_flight_; }

 private:
  struct Change {
    Edit edit;
    Done done;
    bool direct = false;
    bool for_other = false;
    /// Whether it applied to the table that is being written.
    bool applies = false;
  };

  void next();
  void write();
  void writeDirect(const OwnerTable& changed);
  bool gathers() const;
  void onWritten(const StoreAnswer& answer);
  void onEdited(const TableEditAnswer& answer);
  void onConflict();
  void readAgain();
  /// Ends the changes that were written together.
  void finishBatch(bool written);
  void delay();

  ServiceName service_;
  MetadataStore& store_;
  std::function<void()> on_table_;
  OwnerTable table_;
  StoreRevision revision_ = 0;
  /// The table is as the store has it at that revision, in every row.
  bool exact_ = false;
  bool absence_known_ = false;
  /// Conflicts since the last write that was done.
  unsigned conflicts_ = 0;
  EditElsewhere edit_elsewhere_;
  std::deque<Change> changes_;
  /// How many of them are being written.
  std::size_t batch_ = 0;
  /// The next write is not left to another process.
  bool direct_next_ = false;
  bool in_flight_ = false;
  /// The first change had no answer: what stands must be read before it is tried again.
  bool read_first_ = false;
  /// The first change waits until a tick after this; zero: it does not wait.
  TimePoint delayed_until_{};
  TimePoint last_tick_{};
  /// When a write for others began last.
  TimePoint gathered_at_{};
  RetryBackoff backoff_;
};

}  // namespace shedlever
