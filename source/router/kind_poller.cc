#include "source/router/kind_poller.h"

#include <algorithm>
#include <utility>

namespace shedlever {

KindPoller::KindPoller(EventLoop& loop, const Clock& clock, MetadataStore& store, std::string kind,
                       const ListIntervals& times, Events events)
    : loop_(loop), clock_(clock), store_(store), kind_(std::move(kind)), events_(std::move(events)), schedule_(times) {}

KindPoller::~KindPoller() {
  loop_.cancel(timer_);
  *alive_ = false;
}

ListNeed KindPoller::need() const {
  const ListNeed need = events_.need();
  return need == ListNeed::Nothing && last_list_empty_ ? ListNeed::Missing : need;
}

void KindPoller::scheduleNextList() {
  if (in_flight_) {
    return;
  }
  const TimePoint due = schedule_.dueAt(need());
  if (timer_ != 0 && timer_due_ == due) {
    return;
  }
  loop_.cancel(timer_);
  timer_due_ = due;
  timer_ = loop_.runAfter(std::max(due - clock_.now(), Duration::zero()), [this] {
    timer_ = 0;
    list();
  });
}

void KindPoller::list() {
  in_flight_ = true;
  const ListFreshness freshness = schedule_.mustBeFresh(need()) ? ListFreshness::Latest : ListFreshness::MayBeStale;
  store_.list(kind_, freshness, [this, alive = alive_](const StoreListing& listing) {
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
    schedule_.onFailed(clock_.now());
    scheduleNextList();
    return;
  }
  schedule_.onListed(clock_.now());
  last_list_empty_ = listing.objects.empty();
  for (const MetadataObject& object : listing.objects) {
    events_.on_object(object);
  }
  events_.on_listed();
  scheduleNextList();
}

}  // namespace shedlever
