#include "source/router/kind_watcher.h"

#include <algorithm>
#include <utility>

namespace shedlever {

namespace {

/// Less than the 20 s for which the store keeps its history: a watch that began before that has to list all again.
constexpr Duration kWatchTimeout = std::chrono::seconds(18);
/// What another process has seen is told by this one's own watch within so long, if that works.
constexpr Duration kPropagationTimeout = std::chrono::milliseconds(400);
/// After a call that failed; doubles with each ...
constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(400);
/// ... up to this: a process whose path to the store is whole again has some 2 s to read a changed configuration.
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(1600);
/// Within so long all processes list a kind anew when the store has come back from a copy.
constexpr Duration kRelistJitter = std::chrono::milliseconds(300);
/// Answers with events closer than this follow each other closely.
constexpr Duration kBurstWindow = std::chrono::seconds(1);

}  // namespace

const char* toString(ListCause cause) {
  switch (cause) {
    case ListCause::Start:
      return "start";
    case ListCause::Retry:
      return "retry";
    case ListCause::HistoryGone:
      return "history-gone";
    case ListCause::SeenByPeer:
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
      backoff_(kInitialRetryDelay, kMaxRetryDelay),
      staleness_bound_(options_.staleness, clock_.now()) {}

KindWatcher::~KindWatcher() { *alive_ = false; }

void KindWatcher::scheduleStep(Duration delay, std::function<void()> step) {
  loop_.runAfter(delay, [this, alive = alive_, step = std::move(step), round = generation_] {
    if (*alive && round == generation_) {
      step();
    }
  });
}

void KindWatcher::scheduleList(Duration delay) {
  scheduleStep(delay, [this] { list(ListCause::Retry); });
}

void KindWatcher::scheduleWatch(Duration delay) {
  scheduleStep(delay, [this] { watch(); });
}

void KindWatcher::setAvailable(bool available) {
  if (available != available_) {
    available_ = available;
    events_.on_available(available);
  }
}

void KindWatcher::applyObject(const MetadataObject& object, bool deleted) {
  newest_seen_ = std::max(newest_seen_, object.revision);
  events_.on_object(object, deleted);
}

void KindWatcher::onPeerFreshness(const KindFreshness& news) {
  if (news.synced_revision.none() || news.synced_revision.epoch < synced_revision_.epoch) {
    return;
  }
  if (news.revision <= newest_seen_) {
    // Nothing was missed up to there. The store forgets its history: who asks from too far back has to list all.
    synced_revision_ = std::max(synced_revision_, news.synced_revision);
    staleness_bound_.noteFreshAt(clock_.now() - Duration(news.staleness_us));
    return;
  }
  onNewerRevisionAtPeer(news.revision);
}

KindFreshness KindWatcher::freshness() const {
  return listed_ ? KindFreshness{newest_seen_, synced_revision_, staleness().count()} : KindFreshness{};
}

void KindWatcher::onStoreRestored() {
  const Duration delay = Duration(static_cast<Duration::rep>(random_.below(kRelistJitter.count())));
  loop_.runAfter(delay, [this, alive = alive_] {
    // A list or an answer since then may have told all of the present epoch.
    if (*alive && listed_ && synced_revision_.epoch < store_.epoch()) {
      list(ListCause::StoreRestored);
    }
  });
}

void KindWatcher::onNewerRevisionAtPeer(StoreRevision revision) {
  newest_seen_by_peers_ = std::max(newest_seen_by_peers_, revision);
  if (check_scheduled_) {
    return;
  }
  check_scheduled_ = true;
  const Duration pausing = std::max(paused_until_ - clock_.now(), Duration::zero());
  // Others go on seeing newer ones: what counts is whether this one has come to what they had seen by now.
  loop_.runAfter(pausing + kPropagationTimeout, [this, alive = alive_, expected = newest_seen_by_peers_] {
    if (*alive) {
      check_scheduled_ = false;
      checkForRevision(expected);
    }
  });
}

void KindWatcher::checkForRevision(StoreRevision revision) {
  if (revision <= newest_seen_) {
    return;
  }
  check();
  loop_.runAfter(kPropagationTimeout, [this, alive = alive_, revision] {
    if (*alive && revision > newest_seen_) {
      list(ListCause::SeenByPeer);
    }
  });
}

void KindWatcher::tick(std::size_t processes) {
  if (listed_ && staleness_bound_.shouldQuery(clock_.now(), processes, random_)) {
    check();
  }
}

void KindWatcher::check() {
  if (check_in_flight_) {
    return;
  }
  check_in_flight_ = true;
  store_.check(options_.kind, synced_revision_,
               [this, alive = alive_, asked_at = clock_.now()](const WatchResult& answer) {
                 if (*alive) {
                   check_in_flight_ = false;
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
      staleness_bound_.onFailed(clock_.now());
      return;
    case WatchStatus::Events:
      break;
  }
  const Duration stale = staleness();
  const StoreRevision seen = newest_seen_;
  applyEvents(answer);
  staleness_bound_.noteFreshAt(asked_at);
  const bool pauses = clock_.now() < paused_until_;
  if (newest_seen_ > seen && !pauses) {
    events_.on_watch_missed_events(stale);
    scheduleRewatch();
  }
}

void KindWatcher::scheduleRewatch() {
  scheduleStep(kPropagationTimeout, [this] { watch(); });
}

void KindWatcher::applyEvents(const WatchResult& answer) {
  synced_revision_ = std::max(synced_revision_, answer.revision);
  for (const MetadataEvent& event : answer.events) {
    applyObject(event.object, event.deleted);
  }
}

void KindWatcher::list(ListCause cause) {
  const std::uint64_t round = ++generation_;
  if (cause != ListCause::Start) {
    events_.on_relist(cause, staleness());
  }
  const auto on_list = [this, alive = alive_, round, asked_at = clock_.now()](const StoreListing& listing) {
    if (!*alive || round != generation_) {
      return;
    }
    setAvailable(listing.available);
    if (!listing.available) {
      scheduleList(backoff_.onFailure());
      return;
    }
    backoff_.onSuccess();
    // The answer may have been long under way: it tells what stood when it was asked for.
    staleness_bound_.noteFreshAt(asked_at);
    listed_ = true;
    synced_revision_ = listing.revision;
    if (events_.on_list_start) {
      events_.on_list_start();
    }
    for (const MetadataObject& object : listing.objects) {
      applyObject(object, false);
    }
    events_.on_listed();
    watch();
  };
  store_.list(options_.kind, ListFreshness::Latest, on_list);
}

void KindWatcher::watch() {
  const std::uint64_t round = ++generation_;
  store_.watch(options_.kind, synced_revision_, kWatchTimeout,
               [this, alive = alive_, round](const WatchResult& answer) {
                 if (*alive && round == generation_) {
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
      setAvailable(false);
      scheduleWatch(backoff_.onFailure());
      return;
    case WatchStatus::Events:
      break;
  }
  setAvailable(true);
  backoff_.onSuccess();
  applyEvents(answer);
  staleness_bound_.noteFreshAt(clock_.now());
  const TimePoint now = clock_.now();
  const bool burst = !answer.events.empty() && now - last_events_ < kBurstWindow + options_.burst_pause;
  if (!answer.events.empty()) {
    last_events_ = now;
  }
  if (burst) {
    paused_until_ = now + options_.burst_pause;
    scheduleWatch(options_.burst_pause);
  } else {
    watch();
  }
}

}  // namespace shedlever
