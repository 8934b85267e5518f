#include "source/router/kind_watcher.h"

#include <algorithm>
#include <utility>

namespace shedlever {

namespace {

/// Less than the 20 s for which the store keeps its history: a watch that began before that has to list all again.
constexpr Duration kWatchWait = std::chrono::seconds(18);
/// What another process has seen is told by this one's own watch within so long, if that works.
constexpr Duration kHearLimit = std::chrono::milliseconds(400);
/// After a call that failed; doubles with each ...
constexpr Duration kRetryDelay = std::chrono::milliseconds(400);
/// ... up to this: a process whose path to the store is whole again has some 2 s to read a changed configuration.
constexpr Duration kMostRetryDelay = std::chrono::milliseconds(1600);
/// Within so long all processes list a kind anew when the store has come back from a copy.
constexpr Duration kRestoredSpread = std::chrono::milliseconds(300);
/// Answers with events closer than this follow each other closely.
constexpr Duration kBurst = std::chrono::seconds(1);

}  // namespace

const char* toString(ListCause cause) {
  switch (cause) {
    case ListCause::Start:
      return "start";
    case ListCause::Retry:
      return "retry";
    case ListCause::HistoryGone:
      return "history-gone";
    case ListCause::SeenElsewhere:
      return "seen-elsewhere";
    case ListCause::StoreRestored:
      return "store-restored";
  }
  return "unknown";
}

KindWatcher::KindWatcher(EventLoop& loop, const Clock& clock, RandomSource& random, MetadataStore& store,
                         Options options, Events events)
    : loop_(loop),
      clock_(clock),
      random_(random),
      store_(store),
      options_(std::move(options)),
      events_(std::move(events)),
      backoff_(kRetryDelay, kMostRetryDelay),
      bound_(options_.staleness, clock_.now()) {}

KindWatcher::~KindWatcher() { *alive_ = false; }

void KindWatcher::later(Duration delay, std::function<void()> step) {
  loop_.runAfter(delay, [this, alive = alive_, step = std::move(step), round = round_] {
    if (*alive && round == round_) {
      step();
    }
  });
}

void KindWatcher::listLater(Duration delay) {
  later(delay, [this] { list(ListCause::Retry); });
}

void KindWatcher::watchLater(Duration delay) {
  later(delay, [this] { watch(); });
}

void KindWatcher::noteAvailable(bool available) {
  if (available != available_) {
    available_ = available;
    events_.on_available(available);
  }
}

void KindWatcher::take(const MetadataObject& object, bool deleted) {
  seen_ = std::max(seen_, object.revision);
  events_.on_object(object, deleted);
}

void KindWatcher::onTold(const KindNews& news) {
  if (news.at.none() || news.at.era < at_.era) {
    return;
  }
  if (news.revision <= seen_) {
    // Nothing was missed up to there. The store forgets its history: who asks from too far back has to list all.
    at_ = std::max(at_, news.at);
    bound_.noteFreshAt(clock_.now() - Duration(news.staleness_us));
    return;
  }
  onSeenElsewhere(news.revision);
}

KindNews KindWatcher::news() const { return listed_ ? KindNews{seen_, at_, staleness().count()} : KindNews{}; }

void KindWatcher::onStoreRestored() {
  const Duration delay = Duration(static_cast<Duration::rep>(random_.below(kRestoredSpread.count())));
  loop_.runAfter(delay, [this, alive = alive_] {
    // A list or an answer since then may have told all of the present era.
    if (*alive && listed_ && at_.era < store_.era()) {
      list(ListCause::StoreRestored);
    }
  });
}

void KindWatcher::onSeenElsewhere(StoreRevision revision) {
  seen_elsewhere_ = std::max(seen_elsewhere_, revision);
  if (check_planned_) {
    return;
  }
  check_planned_ = true;
  const Duration pausing = std::max(pausing_until_ - clock_.now(), Duration::zero());
  // Others go on seeing newer ones: what counts is whether this one has come to what they had seen by now.
  loop_.runAfter(pausing + kHearLimit, [this, alive = alive_, expected = seen_elsewhere_] {
    if (*alive) {
      check_planned_ = false;
      lookFor(expected);
    }
  });
}

void KindWatcher::lookFor(StoreRevision revision) {
  if (revision <= seen_) {
    return;
  }
  check();
  loop_.runAfter(kHearLimit, [this, alive = alive_, revision] {
    if (*alive && revision > seen_) {
      list(ListCause::SeenElsewhere);
    }
  });
}

void KindWatcher::tick(std::size_t processes) {
  if (listed_ && bound_.shouldQuery(clock_.now(), processes, random_)) {
    check();
  }
}

void KindWatcher::check() {
  if (checking_) {
    return;
  }
  checking_ = true;
  store_.check(options_.kind, at_, [this, alive = alive_, asked_at = clock_.now()](const WatchResult& answer) {
    if (*alive) {
      checking_ = false;
      onChecked(answer, asked_at);
    }
  });
}

void KindWatcher::onChecked(const WatchResult& answer, TimePoint asked_at) {
  switch (answer.status) {
    case WatchStatus::HistoryGone:
      list(ListCause::HistoryGone);
      return;
    case WatchStatus::Unavailable:
      bound_.onFailed(clock_.now());
      return;
    case WatchStatus::Events:
      break;
  }
  const Duration stale = staleness();
  const StoreRevision seen = seen_;
  takeEvents(answer);
  bound_.noteFreshAt(asked_at);
  const bool pauses = clock_.now() < pausing_until_;
  if (seen_ > seen && !pauses) {
    events_.on_missed(stale);
    watchAnewUnlessHeard();
  }
}

void KindWatcher::watchAnewUnlessHeard() {
  later(kHearLimit, [this] { watch(); });
}

void KindWatcher::takeEvents(const WatchResult& answer) {
  at_ = std::max(at_, answer.at);
  for (const MetadataEvent& event : answer.events) {
    take(event.object, event.deleted);
  }
}

void KindWatcher::list(ListCause cause) {
  const std::uint64_t round = ++round_;
  if (cause != ListCause::Start) {
    events_.on_list_anew(cause, staleness());
  }
  const auto on_list = [this, alive = alive_, round, asked_at = clock_.now()](const StoreListing& listing) {
    if (!*alive || round != round_) {
      return;
    }
    noteAvailable(listing.available);
    if (!listing.available) {
      listLater(backoff_.onFailure());
      return;
    }
    backoff_.onSuccess();
    // The answer may have been long under way: it tells what stood when it was asked for.
    bound_.noteFreshAt(asked_at);
    listed_ = true;
    at_ = listing.at;
    if (events_.on_list_begins) {
      events_.on_list_begins();
    }
    for (const MetadataObject& object : listing.objects) {
      take(object, false);
    }
    events_.on_listed();
    watch();
  };
  store_.list(options_.kind, ListFreshness::Latest, on_list);
}

void KindWatcher::watch() {
  const std::uint64_t round = ++round_;
  store_.watch(options_.kind, at_, kWatchWait, [this, alive = alive_, round](const WatchResult& answer) {
    if (*alive && round == round_) {
      onWatch(answer);
    }
  });
}

void KindWatcher::onWatch(const WatchResult& answer) {
  switch (answer.status) {
    case WatchStatus::HistoryGone:
      list(ListCause::HistoryGone);
      return;
    case WatchStatus::Unavailable:
      noteAvailable(false);
      watchLater(backoff_.onFailure());
      return;
    case WatchStatus::Events:
      break;
  }
  noteAvailable(true);
  backoff_.onSuccess();
  takeEvents(answer);
  bound_.noteFreshAt(clock_.now());
  const TimePoint now = clock_.now();
  const bool burst = !answer.events.empty() && now - last_events_ < kBurst + options_.pause;
  if (!answer.events.empty()) {
    last_events_ = now;
  }
  if (burst) {
    pausing_until_ = now + options_.pause;
    watchLater(options_.pause);
  } else {
    watch();
  }
}

}  // namespace shedlever
