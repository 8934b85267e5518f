#include "source/core/router/table_writer.h"

#include <utility>

namespace shedlever {

namespace {

/// A change that finds another one made before it tries so often at once, then waits for the next tick.
constexpr unsigned kConflictsInARow = 2;
/// After a call that was refused or had no answer; doubles with each, so that a store that refuses this node for
/// seconds is not asked at each tick.
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kMostRetryDelay = std::chrono::milliseconds(800);

}  // namespace

std::string ownerTableName(const ServiceName& service) { return "owners-" + service.value; }

TableWriter::TableWriter(ServiceName service, MetadataStore& store, std::function<void()> on_table)
    : service_(std::move(service)),
      store_(store),
      on_table_(std::move(on_table)),
      backoff_(kRetryDelay, kMostRetryDelay) {}

void TableWriter::onObject(const MetadataObject& object) {
  if (object.revision <= revision_) {
    return;
  }
  auto table = OwnerTable::decode(object.value);
  if (!table) {
    return;
  }
  take(std::move(table.value()), object.revision);
}

void TableWriter::onStored(const MetadataObject& object) {
  auto table = OwnerTable::decode(object.value);
  if (!table) {
    return;
  }
  // A list that may be seconds old can have told an earlier state under a later revision.
  revision_ = std::min(revision_, object.revision);
  take(std::move(table.value()), object.revision);
}

void TableWriter::take(OwnerTable table, const StoreRevision& revision) {
  if (table_.hasMoreChangesThan(table)) {
    behind_at_ = revision;
    return;
  }
  table_ = std::move(table);
  revision_ = revision;
  behind_at_ = {};
  on_table_();
}

void TableWriter::change(Edit edit, Done done) {
  changes_.push_back({std::move(edit), std::move(done)});
  if (changes_.size() == 1) {
    next();
  }
}

void TableWriter::create(const OwnerTable& table) {
  if (exists() || in_flight_) {
    return;
  }
  in_flight_ = true;
  store_.create(kTableKind, {ownerTableName(service_), 0, table.encode()}, [this](const StoreAnswer& answer) {
    in_flight_ = false;
    if (answer.status == StoreStatus::Done || answer.status == StoreStatus::Conflict) {
      onStored(answer.object);
    }
    next();
  });
}

void TableWriter::tick(TimePoint now) {
  last_tick_ = now;
  noteEra(now);
  if (now > delayed_until_) {
    delayed_until_ = {};
  }
  next();
}

void TableWriter::noteEra(TimePoint now) {
  const bool rose = std::exchange(noted_era_, store_.epoch()) != store_.epoch();
  if (!exists() || table_.epoch() >= store_.epoch()) {
    earlier_era_since_ = {};
  } else if (rose || earlier_era_since_ == TimePoint{}) {
    earlier_era_since_ = now;
  }
}

void TableWriter::delay() { delayed_until_ = last_tick_ + backoff_.onFailure(); }

bool TableWriter::earlierEraFor(Duration time) const {
  return earlier_era_since_ != TimePoint{} && last_tick_ - earlier_era_since_ >= time;
}

bool TableWriter::mayChange() const { return table_.epoch() == store_.epoch() || earlierEraFor(restore_times_.change); }

void TableWriter::next() {
  if (in_flight_ || delayed_until_ != TimePoint{} || !exists()) {
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
      enterEra();
    }
    return;
  }
  if (read_first_) {
    readAgain();
  } else {
    write();
  }
}

void TableWriter::restore() {
  if (behind_at_.epoch > store_.epoch()) {
    // Told by a process that has heard of a later epoch than this one.
    return;
  }
  if (!behind_at_.none() && behind_at_.epoch == store_.epoch()) {
    writeAgain();
    return;
  }
  if (revision_.epoch == store_.epoch()) {
    // Whoever read it has found this table in the store in the present epoch.
    checked_era_ = store_.epoch();
    behind_at_ = {};
    next();
    return;
  }
  if (earlierEraFor(restore_times_.read)) {
    readAgain();
  }
}

void TableWriter::writeAgain() {
  in_flight_ = true;
  const MetadataObject object{ownerTableName(service_), behind_at_, table_.encode()};
  store_.replace(kTableKind, object, [this](const StoreAnswer& answer) { onReadAgain(answer); });
}

void TableWriter::enterEra() {
  OwnerTable entered = table_;
  entered.beginChange(store_.epoch());
  in_flight_ = true;
  store_.replace(kTableKind, {ownerTableName(service_), revision_, entered.encode()},
                 [this](const StoreAnswer& answer) { onReadAgain(answer); });
}

void TableWriter::createAgain() {
  in_flight_ = true;
  const MetadataObject object{ownerTableName(service_), {}, table_.encode()};
  store_.create(kTableKind, object, [this](const StoreAnswer& answer) { onReadAgain(answer); });
}

void TableWriter::onReadAgain(const StoreAnswer& answer) {
  in_flight_ = false;
  switch (answer.status) {
    case StoreStatus::Done:
    case StoreStatus::Conflict:
      read_first_ = false;
      backoff_.onSuccess();
      behind_at_ = {};
      onStored(answer.object);
      next();
      return;
    case StoreStatus::Absent:
      if (awaitsRestore()) {
        createAgain();
        return;
      }
      delay();
      return;
    case StoreStatus::Refused:
    case StoreStatus::Unknown:
      behind_at_ = {};
      delay();
      return;
  }
}

void TableWriter::write() {
  OwnerTable changed = table_;
  changed.beginChange(store_.epoch());
  if (!changes_.front().edit(changed)) {
    finish(false);
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
      finish(true);
      return;
    case StoreStatus::Conflict:
      onStored(answer.object);
      // Many owners change one table: those that meet again and again come back at different times.
      if (++conflicts_ % kConflictsInARow == 0) {
        delayed_until_ = last_tick_;
      }
      next();
      return;
    case StoreStatus::Refused:
      delay();
      return;
    case StoreStatus::Absent:
    case StoreStatus::Unknown:
      read_first_ = true;
      delay();
      return;
  }
}

void TableWriter::readAgain() {
  in_flight_ = true;
  store_.get(kTableKind, ownerTableName(service_), [this](const StoreAnswer& answer) { onReadAgain(answer); });
}

void TableWriter::finish(bool written) {
  Done done = std::move(changes_.front().done);
  changes_.pop_front();
  done(written);
  next();
}

}  // namespace shedlever
