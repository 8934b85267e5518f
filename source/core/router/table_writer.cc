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
  table_ = std::move(table.value());
  revision_ = object.revision;
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
      onObject(answer.object);
    }
    next();
  });
}

void TableWriter::tick(TimePoint now) {
  last_tick_ = now;
  if (now > delayed_until_) {
    delayed_until_ = {};
  }
  next();
}

void TableWriter::delay() { delayed_until_ = last_tick_ + backoff_.onFailure(); }

void TableWriter::next() {
  if (changes_.empty() || in_flight_ || delayed_until_ != TimePoint{} || !exists()) {
    return;
  }
  if (read_first_) {
    readAgain();
  } else {
    write();
  }
}

void TableWriter::write() {
  OwnerTable changed = table_;
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
      onObject(answer.object);
      finish(true);
      return;
    case StoreStatus::Conflict:
      onObject(answer.object);
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
  store_.get(kTableKind, ownerTableName(service_), [this](const StoreAnswer& answer) {
    in_flight_ = false;
    if (answer.status != StoreStatus::Done) {
      delay();
      return;
    }
    read_first_ = false;
    backoff_.onSuccess();
    onObject(answer.object);
    next();
  });
}

void TableWriter::finish(bool written) {
  Done done = std::move(changes_.front().done);
  changes_.pop_front();
  done(written);
  next();
}

}  // namespace shedlever
