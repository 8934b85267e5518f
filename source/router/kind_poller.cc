#include "source/router/kind_poller.h"

#include <algorithm>
#include <utility>

namespace shedlever {

KindPoller::KindPoller(EventLoop& loop, const Clock& clock, MetadataStore& store, std::string kind,
                       const KindPollerConfig& config, Events events)
    : loop_(loop), clock_(clock), store_(store), kind_(std::move(kind)), config_(config), events_(std::move(events)) {}

KindPoller::~KindPoller() {
  loop_.cancel(timer_);
  *alive_ = false;
}

void KindPoller::onSeenElsewhere(StoreRevision revision) {
  seen_elsewhere_ = std::max(seen_elsewhere_, revision);
  if (seen_elsewhere_ <= seen_ || in_flight_) {
    return;
  }
  const Duration since = clock_.now() - listed_at_;
  listAfter(std::max(config_.pause - since, Duration::zero()));
}

void KindPoller::lookForMissing() {
  if (!in_flight_ && events_.is_missing_some()) {
    const Duration since = clock_.now() - listed_at_;
    listAfter(std::max(config_.empty - since, Duration::zero()));
  }
}

void KindPoller::listAfter(Duration delay) {
  const TimePoint at = clock_.now() + delay;
  if (timer_ != 0 && next_list_ <= at) {
    return;
  }
  loop_.cancel(timer_);
  next_list_ = at;
  timer_ = loop_.runAfter(delay, [this] {
    timer_ = 0;
    list();
  });
}

void KindPoller::list() {
  in_flight_ = true;
  store_.list(kind_, [this, alive = alive_](const StoreListing& listing) {
    if (*alive) {
      onList(listing);
    }
  });
}

void KindPoller::onList(const StoreListing& listing) {
  in_flight_ = false;
  if (listing.available != available_) {
    available_ = listing.available;
    events_.on_available(available_);
  }
  if (!listing.available) {
    listAfter(config_.retry);
    return;
  }
  listed_at_ = clock_.now();
  for (const MetadataObject& object : listing.objects) {
    seen_ = std::max(seen_, object.revision);
    events_.on_object(object);
  }
  const bool is_missing_some = listing.objects.empty() || events_.is_missing_some();
  listAfter(is_missing_some ? config_.empty : config_.idle);
  if (seen_elsewhere_ > seen_) {
    listAfter(config_.pause);
  }
  events_.on_listed();
}

}  // namespace shedlever
