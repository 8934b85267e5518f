#include "source/core/router/ownership/key_moves.h"

#include <algorithm>
#include <utility>

namespace shedlever {

namespace {

std::string describe(const KeyRange& keys) { return std::to_string(keys.first) + "-" + std::to_string(keys.last); }

}  // namespace

void KeyMoves::cancel() {
  moves_.clear();
  ++batch_;
}

void KeyMoves::start(const OwnerLocation& from, const std::vector<KeyRange>& pieces,
                     const std::vector<OwnerLocation>& to) {
  from_ = from;
  std::vector<TableEdit> marks;
  for (const KeyRange& keys : pieces) {
    const OwnedRange* range = ports_.writer->table().find(keys.first);
    if (range != nullptr && range->owner == from.instance && !range->releasing) {
      marks.push_back(TableEdit::beginRelease(*range, keys));
    }
  }
  ports_.change(
      "release begun for " + describe(pieces.front()) + " and " + std::to_string(pieces.size() - 1) + " more pieces",
      std::move(marks), [this, pieces, to, batch = batch_](const EditResults& results) {
        if (anyInTable(results) && batch == batch_ && moves_.empty()) {
          onReleaseMarked(pieces, to);
        }
      });
}

void KeyMoves::onReleaseMarked(const std::vector<KeyRange>& pieces, const std::vector<OwnerLocation>& to) {
  ++batch_;
  for (std::size_t i = 0; i < pieces.size(); ++i) {
    const OwnedRange* range = ports_.writer->table().find(pieces[i].first);
    if (range != nullptr && range->keys == pieces[i] && range->releasing && range->owner == from_.instance) {
      moves_.push_back({*range, to[i % to.size()], false, {}, ports_.rate_of(pieces[i]), {}});
    }
  }
  for (std::size_t i = 0; i < moves_.size(); ++i) {
    release(i);
  }
}

void KeyMoves::tick(TimePoint now) {
  for (std::size_t i = 0; i < moves_.size(); ++i) {
    if (moves_[i].retry_at && now >= *moves_[i].retry_at) {
      moves_[i].retry_at.reset();
      release(i);
    }
  }
}

void KeyMoves::release(std::size_t index) {
  ports_.release(moves_[index].range,
                 [this, index, batch = batch_](const ReleaseResult& result) { onReleased(index, batch, result); });
}

void KeyMoves::onReleased(std::size_t index, std::uint64_t batch, const ReleaseResult& result) {
  if (batch != batch_ || index >= moves_.size()) {
    return;
  }
  if (result.status != CommandStatus::Done && result.status != CommandStatus::Superseded) {
    onNotReleased(index, result.status);
    return;
  }
  moves_[index].released = true;
  moves_[index].handover = result.handover;
  const bool all_released = std::all_of(moves_.begin(), moves_.end(), [](const Move& move) { return move.released; });
  if (all_released) {
    assign();
  }
}

void KeyMoves::onNotReleased(std::size_t index, CommandStatus status) {
  moves_[index].retry_at = ports_.clock->now() + ports_.release_retry;
  if (status == CommandStatus::ServerGone || status == CommandStatus::WrongInstance) {
    // Cancels the batch if the server is taken as ended.
    ports_.on_server_gone();
  }
}

void KeyMoves::assign() {
  const std::vector<OwnerLocation> to = ports_.targets();
  std::vector<OwnerLocation> recipients;
  for (std::size_t i = 0; i < moves_.size(); ++i) {
    const bool still_there = std::find(to.begin(), to.end(), moves_[i].target) != to.end();
    if (!still_there) {
      moves_[i].target = to.empty() ? from_ : to[i % to.size()];
    }
    recipients.push_back(moves_[i].target);
  }
  std::vector<TableEdit> assignments;
  for (const Move& move : moves_) {
    assignments.push_back(TableEdit::assign(move.range, move.range.keys, move.target, move.handover, move.rate));
  }
  ports_.transfer("ranges moved to " + recipients.front().node.value, recipients, std::move(assignments),
                  [this](const EditResults&) {
                    cancel();
                    ports_.on_batch_done();
                  });
}

}  // namespace shedlever
