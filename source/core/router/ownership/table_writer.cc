#include "source/core/router/ownership/table_writer.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace shedlever {

namespace {

/// After this many conflicts in a row the changes wait for the next tick.
constexpr unsigned kConflictsBeforeDelay = 2;
/// Delay after a call that was refused or got no answer; doubles with each failure, so that a store that refuses calls
/// for seconds is not called at every tick.
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(800);

/// Applies the edits in order. @return what each of them did.
EditResults applyEdits(const std::vector<TableEdit>& edits, OwnerTable& table) {
  EditResults results;
  for (const TableEdit& edit : edits) {
    if (edit.apply(table)) {
      results.push_back(EditResult::Written);
    } else {
      results.push_back(edit.isDone(table) ? EditResult::AlreadyDone : EditResult::NoLongerApplies);
    }
  }
  return results;
}

bool changesTable(const EditResults& results) {
  return std::find(results.begin(), results.end(), EditResult::Written) != results.end();
}

}  // namespace

std::string ownerTableName(const ServiceName& service) { return "owners-" + service.value; }

TableWriter::TableWriter(ServiceName service, MetadataStore& store, std::function<void()> on_table)
    : service_(std::move(service)),
      store_(store),
      on_table_(std::move(on_table)),
      backoff_(kRetryDelay, kMaxRetryDelay) {}

void TableWriter::onObject(const MetadataObject& object) {
  if (object.revision <= revision_) {
    return;
  }
  auto table = OwnerTable::decode(object.value);
  if (!table) {
    return;
  }
  adopt(std::move(table.value()), object.revision);
}

void TableWriter::onStored(const MetadataObject& object) {
  auto table = OwnerTable::decode(object.value);
  if (!table) {
    return;
  }
  // A stale list may have returned an earlier state under a later revision.
  revision_ = std::min(revision_, object.revision);
  adopt(std::move(table.value()), object.revision);
}

void TableWriter::adopt(OwnerTable table, const StoreRevision& revision) {
  if (table_.isNewerThan(table)) {
    outdated_store_revision_ = revision;
    return;
  }
  previous_version_ = {revision_, std::exchange(table_, std::move(table))};
  revision_ = revision;
  outdated_store_revision_ = {};
  on_table_();
}

void TableWriter::change(std::vector<TableEdit> edits, Done done) {
  std::vector<Change> changes;
  changes.push_back({std::move(edits), std::move(done)});
  this->change(std::move(changes));
}

void TableWriter::change(std::vector<Change> changes) {
  const bool was_empty = changes_.empty();
  std::move(changes.begin(), changes.end(), std::back_inserter(changes_));
  if (was_empty) {
    startNext();
  }
}

bool TableWriter::create(const OwnerTable& table) {
  if (exists() || in_flight_) {
    return false;
  }
  in_flight_ = true;
  store_.create(kTableKind, {ownerTableName(service_), 0, table.encode()}, [this](const StoreAnswer& answer) {
    in_flight_ = false;
    if (answer.status == StoreStatus::Done || answer.status == StoreStatus::Conflict) {
      onStored(answer.object);
    }
    startNext();
  });
  return true;
}

void TableWriter::tick(TimePoint now) {
  last_tick_ = now;
  trackTableEpoch(now);
  if (now > delayed_until_) {
    delayed_until_ = {};
  }
  startNext();
}

void TableWriter::trackTableEpoch(TimePoint now) {
  const bool epoch_changed = std::exchange(last_tick_epoch_, store_.epoch()) != store_.epoch();
  if (!exists() || table_.epoch() >= store_.epoch()) {
    earlier_epoch_since_ = {};
  } else if (epoch_changed || earlier_epoch_since_ == TimePoint{}) {
    earlier_epoch_since_ = now;
  }
}

void TableWriter::backOff() { delayed_until_ = last_tick_ + backoff_.onFailure(); }

bool TableWriter::inEarlierEpochFor(Duration time) const {
  return earlier_epoch_since_ != TimePoint{} && last_tick_ - earlier_epoch_since_ >= time;
}

bool TableWriter::mayChange() const {
  return table_.epoch() == store_.epoch() || inEarlierEpochFor(restore_delays_.change_delay);
}

void TableWriter::startNext() {
  if (in_flight_ || finishing_ || delayed_until_ != TimePoint{} || !exists()) {
    return;
  }
  if (awaitsRestore()) {
    restore();
    return;
  }
  if (!mayChange()) {
    return;
  }
  if (changes_.empty()) {
    if (table_.epoch() < store_.epoch()) {
      advanceTableEpoch();
    }
    return;
  }
  if (must_reread_) {
    rereadTable();
  } else {
    write();
  }
}

void TableWriter::restore() {
  if (outdated_store_revision_.epoch > store_.epoch()) {
    // The revision came from a process that has seen a later epoch.
    return;
  }
  if (!outdated_store_revision_.none() && outdated_store_revision_.epoch == store_.epoch()) {
    rewriteTable();
    return;
  }
  if (revision_.epoch == store_.epoch()) {
    // This table was read from the store in the present epoch.
    verified_epoch_ = store_.epoch();
    outdated_store_revision_ = {};
    startNext();
    return;
  }
  if (inEarlierEpochFor(restore_delays_.read_delay)) {
    rereadTable();
  }
}

void TableWriter::rewriteTable() {
  in_flight_ = true;
  const MetadataObject object{ownerTableName(service_), outdated_store_revision_, table_.encode()};
  store_.replace(kTableKind, object, [this](const StoreAnswer& answer) { onTableReconciled(answer); });
}

void TableWriter::advanceTableEpoch() {
  OwnerTable advanced = table_;
  advanced.beginChange(store_.epoch());
  in_flight_ = true;
  store_.replace(kTableKind, {ownerTableName(service_), revision_, advanced.encode()},
                 [this](const StoreAnswer& answer) { onTableReconciled(answer); });
}

void TableWriter::recreateTable() {
  in_flight_ = true;
  const MetadataObject object{ownerTableName(service_), {}, table_.encode()};
  store_.create(kTableKind, object, [this](const StoreAnswer& answer) { onTableReconciled(answer); });
}

void TableWriter::onTableReconciled(const StoreAnswer& answer) {
  in_flight_ = false;
  switch (answer.status) {
    case StoreStatus::Done:
    case StoreStatus::Conflict:
      must_reread_ = false;
      backoff_.onSuccess();
      outdated_store_revision_ = {};
      onStored(answer.object);
      startNext();
      return;
    case StoreStatus::Absent:
      if (awaitsRestore()) {
        recreateTable();
        return;
      }
      backOff();
      return;
    case StoreStatus::Refused:
    case StoreStatus::Unknown:
      outdated_store_revision_ = {};
      backOff();
      return;
  }
}

void TableWriter::write() {
  OwnerTable changed = table_;
  changed.beginChange(store_.epoch());
  batch_size_ = changes_.size();
  bool changes_table = false;
  for (Change& change : changes_) {
    const bool may_apply = !change.epoch || *change.epoch == store_.epoch();
    change.results =
        may_apply ? applyEdits(change.edits, changed) : EditResults(change.edits.size(), EditResult::Undecided);
    changes_table = changesTable(change.results) || changes_table;
  }
  if (!changes_table) {
    finishBatch();
    return;
  }
  in_flight_ = true;
  store_.replace(kTableKind, {ownerTableName(service_), revision_, changed.encode()},
                 [this](const StoreAnswer& answer) { onWritten(answer); });
}

void TableWriter::onWritten(const StoreAnswer& answer) {
  in_flight_ = false;
  switch (answer.status) {
    case StoreStatus::Done:
      conflicts_ = 0;
      backoff_.onSuccess();
      onStored(answer.object);
      finishBatch();
      return;
    case StoreStatus::Conflict:
      onStored(answer.object);
      // Spreads writers that conflict repeatedly over different times.
      if (++conflicts_ % kConflictsBeforeDelay == 0) {
        delayed_until_ = last_tick_;
      }
      startNext();
      return;
    case StoreStatus::Refused:
      backOff();
      return;
    case StoreStatus::Absent:
    case StoreStatus::Unknown:
      must_reread_ = true;
      backOff();
      return;
  }
}

void TableWriter::rereadTable() {
  in_flight_ = true;
  store_.get(kTableKind, ownerTableName(service_), [this](const StoreAnswer& answer) { onTableReconciled(answer); });
}

void TableWriter::finishBatch() {
  finishing_ = true;
  for (std::size_t left = std::exchange(batch_size_, 0); left > 0; --left) {
    const Change change = std::move(changes_.front());
    changes_.pop_front();
    change.done(change.results);
  }
  finishing_ = false;
  startNext();
}

}  // namespace shedlever
