#include "source/router/kind_watcher.h"

#include <algorithm>
#include <utility>

namespace shedlever {

namespace {

/// Less than the 20 s for which the store keeps its history, so that the next watch finds the changes since this one.
constexpr Duration kWatchTimeout = std::chrono::seconds(18);
/// A working watch delivers within this time what a peer has already seen.
constexpr Duration kPropagationTimeout = std::chrono::milliseconds(400);
/// Backoff after failed calls. The maximum leaves a process that has regained the store time to read a changed
/// configuration within 2 s.
constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(400);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(1600);
/// Maximum random delay of the list after a restore of the store.
constexpr Duration kRelistJitter = std::chrono::milliseconds(300);
/// Responses with events that are closer than this plus the burst pause count as a burst.
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
  loop_.runAfter(delay, [this, alive = alive_, step = std::move(step), generation = generation_] {
    if (*alive && generation == generation_) {
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

void KindWatcher::onPeerFreshness(const KindFreshness& peer) {
  if (peer.synced_revision.none() || peer.synced_revision.epoch < synced_revision_.epoch) {
    return;
  }
  if (peer.revision <= newest_seen_) {
    // No change was missed up to the peer's position. Advancing to it keeps the next watch within the store's history.
    synced_revision_ = std::max(synced_revision_, peer.synced_revision);
    staleness_bound_.noteFreshAt(clock_.now() - Duration(peer.staleness_us));
    return;
  }
  onNewerRevisionAtPeer(peer.revision);
}

KindFreshness KindWatcher::freshness() const {
  return listed_ ? KindFreshness{newest_seen_, synced_revision_, staleness().count()} : KindFreshness{};
}

void KindWatcher::onStoreRestored() {
  const Duration delay = Duration(static_cast<Duration::rep>(random_.below(kRelistJitter.count())));
  loop_.runAfter(delay, [this, alive = alive_] {
    // A list since then may have returned the objects of the current epoch.
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
  const Duration remaining_pause = std::max(paused_until_ - clock_.now(), Duration::zero());
  // Peers may see newer revisions meanwhile; the check is only for what they had seen by now.
  loop_.runAfter(remaining_pause + kPropagationTimeout, [this, alive = alive_, expected = newest_seen_by_peers_] {
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

void KindWatcher::tick(std::size_t process_count) {
  if (listed_ && staleness_bound_.shouldQuery(clock_.now(), process_count, random_)) {
    check();
  }
}

void KindWatcher::check() {
  if (check_in_flight_) {
    return;
  }
  check_in_flight_ = true;
  store_.check(options_.kind, synced_revision_,
               [this, alive = alive_, requested_at = clock_.now()](const WatchResult& result) {
                 if (*alive) {
                   check_in_flight_ = false;
                   onChecked(result, requested_at);
                 }
               });
}

void KindWatcher::onChecked(const WatchResult& result, TimePoint requested_at) {
  switch (result.status) {
    case WatchStatus::HistoryGone:
      list(ListCause::HistoryGone);
      return;
    case WatchStatus::Unavailable:
      staleness_bound_.onFailed(clock_.now());
      return;
    case WatchStatus::Events:
      break;
  }
  const Duration staleness_before = staleness();
  const StoreRevision newest_before = newest_seen_;
  applyEvents(result);
  confirmed_at_ = requested_at;
  staleness_bound_.noteFreshAt(requested_at);
  const bool paused = clock_.now() < paused_until_;
  if (newest_seen_ > newest_before && !paused) {
    events_.on_watch_missed_events(staleness_before);
    scheduleRewatch();
  }
}

void KindWatcher::scheduleRewatch() {
  scheduleStep(kPropagationTimeout, [this] { watch(); });
}

void KindWatcher::applyEvents(const WatchResult& result) {
  synced_revision_ = std::max(synced_revision_, result.revision);
  for (const MetadataEvent& event : result.events) {
    applyObject(event.object, event.deleted);
  }
}

void KindWatcher::list(ListCause cause) {
  const std::uint64_t generation = ++generation_;
  if (cause != ListCause::Start) {
    events_.on_relist(cause, staleness());
  }
  const auto on_list = [this, alive = alive_, generation, requested_at = clock_.now()](const StoreListing& listing) {
    if (!*alive || generation != generation_) {
      return;
    }
    setAvailable(listing.available);
    if (!listing.available) {
      scheduleList(backoff_.onFailure());
      return;
    }
    backoff_.onSuccess();
    // The list is only known to be the newest at the time of the request.
    staleness_bound_.noteFreshAt(requested_at);
    confirmed_at_ = requested_at;
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
  const std::uint64_t generation = ++generation_;
  store_.watch(options_.kind, synced_revision_, kWatchTimeout,
               [this, alive = alive_, generation](const WatchResult& result) {
                 if (*alive && generation == generation_) {
                   onWatch(result);
                 }
               });
}

void KindWatcher::onWatch(const WatchResult& result) {
  switch (result.status) {
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
  applyEvents(result);
  staleness_bound_.noteFreshAt(clock_.now());
  const TimePoint now = clock_.now();
  const bool burst = !result.events.empty() && now - last_events_ < kBurstWindow + options_.burst_pause;
  if (!result.events.empty()) {
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
