#include "source/lab/sim/virtual_store.h"

#include <utility>

namespace shedlever::sim {

namespace {

using std::chrono::milliseconds;

constexpr Duration kCallTimeout = milliseconds(1200);

}  // namespace

void VirtualTime::after(Duration delay, std::function<void()> event) {
  events_.push({now_ + delay, ++last_number_, std::move(event)});
}

void VirtualTime::runFor(Duration span, const std::function<void()>& after_each) {
  const TimePoint end = now_ + span;
  while (!events_.empty() && events_.top().at <= end) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
    after_each();
  }
  now_ = end;
}

StoreAnswer StoreState::answer(StoreStatus status, const MetadataObject& object) const {
  StoreAnswer answer{status, object, epoch_};
  answer.object.revision.epoch = epoch_;
  return answer;
}

StoreRevision StoreState::nextRevision() { return {epoch_, ++changes_}; }

bool StoreState::conflicts(const StoreRevision& condition, const MetadataObject& object) {
  return !condition.none() && condition.count != object.revision.count;
}

void StoreState::keepCopy() {
  copied_changes_ = changes_;
  copied_objects_ = objects_;
}

void StoreState::restoreCopy() {
  ++epoch_;
  changes_ = copied_changes_;
  objects_ = copied_objects_;
}

StoreAnswer StoreState::get(const std::string& kind, const std::string& name) const {
  const auto found = objects_.find({kind, name});
  return found == objects_.end() ? answer(StoreStatus::Absent) : answer(StoreStatus::Done, found->second);
}

StoreAnswer StoreState::create(const std::string& kind, const MetadataObject& object) {
  ++write_calls_[kind];
  const auto [place, is_new] = objects_.try_emplace({kind, object.name}, object);
  if (!is_new) {
    return answer(StoreStatus::Conflict, place->second);
  }
  place->second.revision = nextRevision();
  ++writes_[kind];
  return answer(StoreStatus::Done, place->second);
}

StoreAnswer StoreState::replace(const std::string& kind, const MetadataObject& object) {
  ++write_calls_[kind];
  const auto found = objects_.find({kind, object.name});
  if (found == objects_.end()) {
    return answer(StoreStatus::Absent);
  }
  if (conflicts(object.revision, found->second)) {
    return answer(StoreStatus::Conflict, found->second);
  }
  found->second.value = object.value;
  found->second.revision = nextRevision();
  ++writes_[kind];
  return answer(StoreStatus::Done, found->second);
}

StoreAnswer StoreState::remove(const std::string& kind, const std::string& name, StoreRevision revision) {
  const auto found = objects_.find({kind, name});
  if (found == objects_.end()) {
    return answer(StoreStatus::Absent);
  }
  if (conflicts(revision, found->second)) {
    return answer(StoreStatus::Conflict, found->second);
  }
  const MetadataObject removed = found->second;
  objects_.erase(found);
  nextRevision();
  return answer(StoreStatus::Done, removed);
}

StoreListing StoreState::list(const std::string& kind) const {
  StoreListing listing{true, revision(), {}, epoch_};
  for (const auto& [place, object] : objects_) {
    if (place.first == kind) {
      listing.objects.push_back(object);
      listing.objects.back().revision.epoch = epoch_;
    }
  }
  return listing;
}

bool VirtualMetadataStore::happens(double probability) {
  constexpr std::uint64_t kSteps = 10000;
  return static_cast<double>(random_.below(kSteps)) < probability * static_cast<double>(kSteps);
}

void VirtualMetadataStore::get(const std::string& kind, const std::string& name, AnswerCallback done) {
  const bool down = faults.down;
  state_.countRead(kind);
  time_.after(down ? kCallTimeout : faults.response_time,
              [this, down, kind, name, done = std::move(done), alive_now = alive] {
                if (*alive_now) {
                  done(down ? StoreAnswer{} : state_.get(kind, name));
                }
              });
}

/// @param apply must not refer to this client, which may be destroyed before the call completes.
void VirtualMetadataStore::write(const std::string& kind, std::function<StoreAnswer()> apply,
                                 const AnswerCallback& done) {
  const Duration response_time =
      faults.response_time + (kind == faults.slow_kind ? faults.slow_write_delay : Duration{});
  const auto unanswered = [this, done, alive_now = alive] {
    time_.after(kCallTimeout, [done, alive_now] {
      if (*alive_now) {
        done({});
      }
    });
  };
  if (faults.down) {
    unanswered();
    return;
  }
  if (happens(faults.late_write_probability)) {
    const auto delay = milliseconds(1000 + random_.below(5000));
    time_.after(delay, [apply] { apply(); });
    unanswered();
    return;
  }
  if (happens(faults.lost_answer_probability)) {
    time_.after(response_time, [apply] { apply(); });
    unanswered();
    return;
  }
  time_.after(response_time, [apply, done, alive_now = alive] {
    const StoreAnswer answer = apply();
    if (*alive_now) {
      done(answer);
    }
  });
}

void VirtualMetadataStore::create(const std::string& kind, const MetadataObject& object, AnswerCallback done) {
  write(
      kind, [&state = state_, kind, object] { return state.create(kind, object); }, done);
}

void VirtualMetadataStore::replace(const std::string& kind, const MetadataObject& object, AnswerCallback done) {
  write(
      kind, [&state = state_, kind, object] { return state.replace(kind, object); }, done);
}

void VirtualMetadataStore::remove(const std::string& kind, const std::string& name, StoreRevision revision,
                                  AnswerCallback done) {
  write(
      kind, [&state = state_, kind, name, revision] { return state.remove(kind, name, revision); }, done);
}

void VirtualMetadataStore::list(const std::string& kind, ListFreshness, ListCallback done) {
  time_.after(faults.response_time, [this, kind, done = std::move(done), alive_now = alive] {
    if (*alive_now) {
      done(faults.down ? StoreListing{} : state_.list(kind));
    }
  });
}

void VirtualMetadataStore::watch(const std::string&, StoreRevision, Duration wait, WatchCallback done) {
  time_.after(wait, [done = std::move(done), alive_now = alive] {
    if (*alive_now) {
      done({});
    }
  });
}

void VirtualMetadataStore::check(const std::string& kind, StoreRevision after, WatchCallback done) {
  watch(kind, after, Duration::zero(), std::move(done));
}

}  // namespace shedlever::sim
