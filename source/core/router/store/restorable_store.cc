#include "source/core/router/store/restorable_store.h"

#include <utility>

namespace shedlever {

void RestorableStore::observePeerEpoch(StoreEpoch epoch) {
  if (epoch <= epoch_) {
    return;
  }
  const StoreEpoch before = std::exchange(epoch_, epoch);
  if (before != 0) {
    events_.on_restored(before, epoch);
  }
}

bool RestorableStore::observeEpoch(StoreEpoch answer_epoch) {
  if (answer_epoch == 0) {
    events_.on_epoch_missing();
    return true;
  }
  observePeerEpoch(answer_epoch);
  return answer_epoch == epoch_;
}

StoreAnswer RestorableStore::filterByEpoch(StoreAnswer answer) {
  const bool has_answer = answer.status != StoreStatus::Unknown && answer.status != StoreStatus::Refused;
  if (!has_answer) {
    return answer;
  }
  if (!observeEpoch(answer.epoch)) {
    return {};
  }
  answer.object.revision.epoch = epoch_;
  return answer;
}

WatchResult RestorableStore::admit(WatchResult answer, const StoreRevision& after) {
  if (answer.status == WatchStatus::Unavailable) {
    return answer;
  }
  if (!observeEpoch(answer.epoch)) {
    return {};
  }
  if (isFromEndedEpoch(after)) {
    // The store has interpreted the revision in another epoch than the one it was read in.
    return {WatchStatus::HistoryGone, {}, {}, epoch_};
  }
  answer.revision.epoch = epoch_;
  for (MetadataEvent& event : answer.events) {
    event.object.revision.epoch = epoch_;
  }
  return answer;
}

void RestorableStore::answerWithConflict(const std::string& kind, const std::string& name, AnswerCallback done) {
  get(kind, name, [done = std::move(done)](StoreAnswer answer) {
    if (answer.status == StoreStatus::Done) {
      answer.status = StoreStatus::Conflict;
    }
    done(std::move(answer));
  });
}

MetadataStore::AnswerCallback RestorableStore::wrapUnconditional(AnswerCallback done) {
  return [this, alive = alive_, done = std::move(done)](StoreAnswer answer) {
    if (*alive) {
      done(filterByEpoch(std::move(answer)));
    }
  };
}

MetadataStore::AnswerCallback RestorableStore::wrapConditional(const StoreRevision& condition, AnswerCallback done) {
  return [this, alive = alive_, condition, done = std::move(done)](StoreAnswer answer) {
    if (!*alive) {
      return;
    }
    answer = filterByEpoch(std::move(answer));
    if (answer.status == StoreStatus::Done && !condition.none() && isFromEndedEpoch(condition)) {
      // The store was restored during the call, and the condition matched by coincidence.
      answer.status = StoreStatus::Conflict;
    }
    done(std::move(answer));
  };
}

void RestorableStore::get(const std::string& kind, const std::string& name, AnswerCallback done) {
  store_.get(kind, name, wrapUnconditional(std::move(done)));
}

void RestorableStore::create(const std::string& kind, const MetadataObject& object, AnswerCallback done) {
  store_.create(kind, object, wrapUnconditional(std::move(done)));
}

void RestorableStore::replace(const std::string& kind, const MetadataObject& object, AnswerCallback done) {
  if (!object.revision.none() && isFromEndedEpoch(object.revision)) {
    answerWithConflict(kind, object.name, std::move(done));
    return;
  }
  store_.replace(kind, object, wrapConditional(object.revision, std::move(done)));
}

void RestorableStore::remove(const std::string& kind, const std::string& name, StoreRevision revision,
                             AnswerCallback done) {
  if (!revision.none() && isFromEndedEpoch(revision)) {
    answerWithConflict(kind, name, std::move(done));
    return;
  }
  store_.remove(kind, name, revision, wrapConditional(revision, std::move(done)));
}

void RestorableStore::list(const std::string& kind, ListFreshness freshness, ListCallback done) {
  store_.list(kind, freshness, [this, alive = alive_, done = std::move(done)](StoreListing listing) {
    if (!*alive) {
      return;
    }
    if (listing.available && !observeEpoch(listing.epoch)) {
      listing = {};
    }
    listing.revision.epoch = epoch_;
    for (MetadataObject& object : listing.objects) {
      object.revision.epoch = epoch_;
    }
    done(std::move(listing));
  });
}

void RestorableStore::watch(const std::string& kind, StoreRevision after, Duration wait, WatchCallback done) {
  store_.watch(kind, after, wait, wrapWatch(after, std::move(done)));
}

void RestorableStore::check(const std::string& kind, StoreRevision after, WatchCallback done) {
  store_.check(kind, after, wrapWatch(after, std::move(done)));
}

MetadataStore::WatchCallback RestorableStore::wrapWatch(const StoreRevision& after, WatchCallback done) {
  return [this, alive = alive_, after, done = std::move(done)](WatchResult answer) {
    if (*alive) {
      done(admit(std::move(answer), after));
    }
  };
}

}  // namespace shedlever
