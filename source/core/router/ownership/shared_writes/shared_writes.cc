#include "source/core/router/ownership/shared_writes/shared_writes.h"

#include <algorithm>
#include <set>
#include <utility>

#include "source/core/router/ownership/owner_table_delta.h"

namespace shedlever {

namespace {

/// Without a reply after this time the next process is asked, or the owner writes its edits itself.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(800);
/// Minimum interval of batches, so that edits of many owners that follow each other closely take few writes.
constexpr Duration kBatchInterval = std::chrono::milliseconds(50);
/// How long a decided change waits for its table, which is sent before the reply on the same stream.
constexpr Duration kTableTimeout = std::chrono::milliseconds(300);
/// Number of processes that are asked before an owner writes its edits itself. Owners that lose their writer together
/// ask the same next one; if each wrote by itself, their writes would conflict.
constexpr unsigned kMaxAttempts = 2;
/// If no process that writes is found in this time, an owner writes its edits itself.
constexpr Duration kSelectionTimeout = std::chrono::milliseconds(800);
/// Edits of others are refused while this many changes wait, for example because the store takes no writes.
constexpr std::size_t kMaxWaitingChanges = 2000;

std::size_t countOwners(const OwnerTable& table) {
  std::set<NodeName> nodes;
  for (const OwnedRange& range : table.ranges()) {
    nodes.insert(range.node);
  }
  return nodes.size();
}

}  // namespace

SharedWrites::SharedWrites(NodeName self, ServiceName service, const OwnershipConfig& config, Ports ports)
    : service_(std::move(service)),
      config_(config),
      ports_(std::move(ports)),
      selector_(std::move(self), service_, ports_.selector) {}

bool SharedWrites::isShared(const std::vector<TableEdit>& edits) const {
  const bool is_switched_on = ports_.send && config_.shared_writes_from > 0 &&
                              countOwners(ports_.writer->table()) >= config_.shared_writes_from;
  const bool has_current_table = !ports_.writer->awaitsRestore() && ports_.writer->exists();
  return is_switched_on && has_current_table && !edits.empty() &&
         std::all_of(edits.begin(), edits.end(), [](const TableEdit& edit) { return edit.entry() != nullptr; });
}

void SharedWrites::change(std::vector<TableEdit> edits, TableWriter::Done done) {
  if (!isShared(edits)) {
    ports_.writer->change(std::move(edits), std::move(done));
    return;
  }
  const std::uint64_t id = ++last_id_;
  const TimePoint now = ports_.clock->now();
  pending_[id] = {std::move(edits), std::move(done), ports_.store->epoch(), now};
  assignWriter(id, selector_.select(now));
}

void SharedWrites::assignWriter(std::uint64_t id, const WriterSelector::Selection& selection) {
  switch (selection.kind) {
    case WriterSelector::Selection::Kind::Wait:
      return;
    case WriterSelector::Selection::Kind::Other:
      sendEdits(id, selection.node);
      return;
    case WriterSelector::Selection::Kind::Self:
      auto own = pending_.extract(id);
      batch_.push_back({std::move(own.mapped().edits), std::move(own.mapped().done)});
      return;
  }
}

void SharedWrites::sendEdits(std::uint64_t id, const NodeName& node) {
  PendingChange& pending = pending_.at(id);
  const TableWriter& writer = *ports_.writer;
  pending.node = node;
  ++pending.attempts;
  pending.known = writer.revision();
  TableEditsFrame frame;
  frame.service = service_;
  for (const TableEdit& edit : pending.edits) {
    frame.edits.push_back(*edit.entry());
  }
  frame.epoch = pending.epoch;
  frame.known = {writer.revision(), digestOf(writer.table())};
  ports_.send(node, frame, kReplyTimeout, [this, alive = alive_, id](const auto& reply) {
    if (*alive) {
      onReply(id, reply);
    }
  });
}

std::string SharedWrites::findFault(const PendingChange& pending,
                                    const std::optional<TableEditsReplyFrame>& reply) const {
  if (!reply) {
    return "no answer";
  }
  if (!reply->decided || reply->written.size() != pending.edits.size()) {
    return "not decided";
  }
  if (reply->revision.epoch != ports_.store->epoch()) {
    return "another epoch";
  }
  return reply->revision < pending.known ? "older table" : "";
}

void SharedWrites::onReply(std::uint64_t id, const std::optional<TableEditsReplyFrame>& reply) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) {
    return;
  }
  PendingChange& pending = found->second;
  const TimePoint now = ports_.clock->now();
  const std::string fault = findFault(pending, reply);
  if (!fault.empty()) {
    onNotDecided(id, fault, now);
    return;
  }
  for (const bool written : reply->written) {
    pending.results.push_back(written ? EditResult::Written : EditResult::NoLongerApplies);
  }
  pending.decided_at = reply->revision;
  pending.table_deadline = now + kTableTimeout;
  finishOrFallBack(now);
}

void SharedWrites::onNotDecided(std::uint64_t id, const std::string& reason, TimePoint now) {
  PendingChange& pending = pending_.at(id);
  selector_.onFailed(pending.node, now);
  if (pending.attempts >= kMaxAttempts || !isShared(pending.edits) || pending.epoch != ports_.store->epoch()) {
    fallBack(id, reason);
    return;
  }
  ports_.on_fallback(reason, pending.node);
  pending.node = {};
  pending.queued_at = now;
  assignWriter(id, selector_.select(now));
}

void SharedWrites::finishOrFallBack(TimePoint now) {
  std::vector<std::uint64_t> finished;
  std::vector<std::uint64_t> late;
  for (const auto& [id, pending] : pending_) {
    if (pending.isDecided() && ports_.writer->revision() >= pending.decided_at) {
      finished.push_back(id);
    } else if (pending.isDecided() && now >= pending.table_deadline) {
      late.push_back(id);
    }
  }
  for (const std::uint64_t id : late) {
    fallBack(id, "table not received");
  }
  for (const std::uint64_t id : finished) {
    const auto ended = pending_.extract(id);
    ended.mapped().done(ended.mapped().results);
  }
}

void SharedWrites::fallBack(std::uint64_t id, const std::string& reason) {
  auto pending = pending_.extract(id);
  ports_.on_fallback(reason, pending.mapped().node);
  // Whether the other process has written the edits shows when this write conflicts.
  ports_.writer->change(std::move(pending.mapped().edits), std::move(pending.mapped().done));
}

TableEditsReplyFrame SharedWrites::replyTo(std::uint64_t exchange, const EditResults& results) const {
  TableEditsReplyFrame reply;
  reply.exchange = exchange;
  reply.decided = std::find(results.begin(), results.end(), EditResult::Undecided) == results.end();
  std::transform(results.begin(), results.end(), std::back_inserter(reply.written), isInTable);
  reply.revision = ports_.writer->revision();
  return reply;
}

void SharedWrites::onEdits(const TableEditsFrame& frame, std::function<void(const TableEditsReplyFrame&)> reply) {
  TableWriter& writer = *ports_.writer;
  const bool is_full = writer.waitingChanges() + batch_.size() >= kMaxWaitingChanges;
  if (frame.edits.empty() || frame.epoch < ports_.store->epoch() || is_full) {
    reply({frame.exchange, false, {}, writer.revision()});
    return;
  }
  if (frame.known.known > writer.revision()) {
    // Edits that don't apply to this process's table may apply to the sender's.
    writer.requireRead();
  }
  std::vector<TableEdit> edits;
  std::transform(frame.edits.begin(), frame.edits.end(), std::back_inserter(edits), TableEdit::fromEntry);
  edits_of_others_ += edits.size();
  ++changes_of_others_;
  batch_.push_back({std::move(edits),
                    [this, exchange = frame.exchange, reply = std::move(reply)](const EditResults& results) {
                      reply(replyTo(exchange, results));
                    },
                    frame.epoch});
}

void SharedWrites::tick(TimePoint now) {
  finishOrFallBack(now);
  assignWaiting(now);
  writeBatch(now);
}

void SharedWrites::assignWaiting(TimePoint now) {
  std::vector<std::uint64_t> waiting;
  for (const auto& [id, pending] : pending_) {
    if (pending.node.empty()) {
      waiting.push_back(id);
    }
  }
  if (waiting.empty()) {
    return;
  }
  const WriterSelector::Selection selection = selector_.select(now);
  for (const std::uint64_t id : waiting) {
    const PendingChange& pending = pending_.at(id);
    if (!isShared(pending.edits) || now - pending.queued_at >= kSelectionTimeout) {
      fallBack(id, "no writer connected");
    } else {
      assignWriter(id, selection);
    }
  }
}

void SharedWrites::writeBatch(TimePoint now) {
  if (batch_.empty() || now < next_batch_at_) {
    return;
  }
  next_batch_at_ = now + kBatchInterval;
  if (changes_of_others_ > 0) {
    ports_.on_batch(std::exchange(changes_of_others_, 0), std::exchange(edits_of_others_, 0));
  }
  ports_.writer->change(std::exchange(batch_, {}));
}

}  // namespace shedlever
