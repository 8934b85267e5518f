#include "source/core/router/table_writer.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace shedlever {

namespace {

/// A change that finds another one made before it tries so often at once, then waits for the next tick.
constexpr unsigned kConflictsInARow = 2;
/// Changes of other processes are gathered for so long from the write before. At 95 owners it makes one write of
/// several changes, and adds half of it to the time that a move takes.
constexpr Duration kGatherTime = std::chrono::milliseconds(30);
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
  const bool is_news = object.revision > revision_ || (object.revision == revision_ && !exact_);
  if (!is_news) {
    return;
  }
  auto table = OwnerTable::decode(object.value);
  if (!table) {
    return;
  }
  table_ = std::move(table.value());
  revision_ = object.revision;
  exact_ = true;
  on_table_();
}

bool TableWriter::onRows(const TableRows& rows) {
  if (rows.revision <= revision_) {
    return true;
  }
  const bool gap = rows.after_token > table_.lastToken();
  if (gap || !table_.overlay(rows.rows, rows.last_token)) {
    return false;
  }
  revision_ = rows.revision;
  exact_ = false;
  on_table_();
  return true;
}

TableRows TableWriter::rowsAfter(FenceToken token) const {
  return {service_, revision_, token, table_.lastToken(), table_.rowsAbove(token)};
}

TableRows TableWriter::rowsFor(const TableEditFrame& edit) const {
  TableRows rows = rowsAfter(edit.last_token);
  // A range that is being released keeps its token.
  for (const OwnedRange& changed : edit.delta.after) {
    for (OwnedRange& row : table_.rowsAt(changed.keys)) {
      if (row.token <= edit.last_token) {
        rows.rows.push_back(std::move(row));
      }
    }
  }
  return rows;
}

void TableWriter::change(Edit edit, Done done, Way way) {
  changes_.push_back({std::move(edit), std::move(done), way == Way::Direct, false, false});
  if (changes_.size() == 1) {
    next();
  }
}

void TableWriter::changeForOther(const TableDelta& delta, Done done) {
  changes_.push_back({[delta](OwnerTable& table) { return table.apply(delta); }, std::move(done), true, true, false});
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

bool TableWriter::gathers() const {
  const bool for_others =
      std::any_of(changes_.begin(), changes_.end(), [](const Change& change) { return change.for_other; });
  return for_others && last_tick_ < gathered_at_ + kGatherTime;
}

void TableWriter::next() {
  if (changes_.empty() || in_flight_ || delayed_until_ != TimePoint{} || !exists() || gathers()) {
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
  bool direct = std::exchange(direct_next_, false);
  bool any = false;
  for (Change& change : changes_) {
    change.applies = change.edit(changed);
    any = any || change.applies;
    direct = direct || change.direct;
    gathered_at_ = change.for_other ? last_tick_ : gathered_at_;
  }
  batch_ = changes_.size();
  if (!any) {
    finishBatch(false);
    return;
  }
  in_flight_ = true;
  const auto on_edited = [this](const TableEditAnswer& answer) { onEdited(answer); };
  const bool elsewhere = !direct && edit_elsewhere_ &&
                         edit_elsewhere_(deltaBetween(table_, changed), revision_, table_.lastToken(), on_edited);
  if (!elsewhere) {
    writeDirect(changed);
  }
}

void TableWriter::writeDirect(const OwnerTable& changed) {
  if (!exact_) {
    direct_next_ = true;
    readAgain();
    return;
  }
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
      finishBatch(true);
      return;
    case StoreStatus::Conflict:
      onObject(answer.object);
      onConflict();
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

void TableWriter::onConflict() {
  // Many owners change one table: those that meet again and again come back at different times.
  if (++conflicts_ % kConflictsInARow == 0) {
    delayed_until_ = last_tick_;
  }
  next();
}

void TableWriter::onEdited(const TableEditAnswer& answer) {
  in_flight_ = false;
  const StoreRevision before = revision_;
  if (answer.table.revision != 0) {
    onRows(answer.table);
  }
  switch (answer.status) {
    case TableEditStatus::Made:
      conflicts_ = 0;
      // Without the table that has it the change can't be looked at: read it.
      if (revision_ == before) {
        read_first_ = true;
        direct_next_ = true;
        next();
        return;
      }
      finishBatch(true);
      return;
    case TableEditStatus::NotApplicable:
      // Who writes for all may know an older table than this process.
      direct_next_ = revision_ == before;
      onConflict();
      return;
    case TableEditStatus::Refused:
      direct_next_ = true;
      next();
      return;
    case TableEditStatus::Unknown:
      read_first_ = true;
      direct_next_ = true;
      next();
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

void TableWriter::finishBatch(bool written) {
  std::vector<Change> ended;
  for (std::size_t i = 0; i < batch_; ++i) {
    ended.push_back(std::move(changes_.front()));
    changes_.pop_front();
  }
  batch_ = 0;
  for (const Change& change : ended) {
    change.done(written && change.applies);
  }
  next();
}

}  // namespace shedlever
