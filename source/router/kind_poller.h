#pragma once

/// @file
/// Keeps up with a kind of objects by polling: lists the kind while an object is known to be missing or outdated, and
/// periodically otherwise.
///
/// A watch would deliver every version of every object. Owner tables change many times per second while keys move, and
/// each version is a whole table, which is more data than a slow link can carry.

#include <functional>
#include <memory>
#include <string>

#include "shedlever/metadata_store.h"
#include "source/core/router/store/list_schedule.h"
#include "source/net/event_loop.h"

namespace shedlever {

class KindPoller {
 public:
  struct Events {
    std::function<void(const MetadataObject&)> on_object;
    /// A complete list has been delivered by `on_object`.
    std::function<void()> on_listed;
    /// The store became available or unavailable.
    std::function<void(bool available)> on_available;
    /// @return whether an object is known to be missing or outdated.
    std::function<ListNeed()> need;
  };

  KindPoller(EventLoop& loop, const Clock& clock, MetadataStore& store, std::string kind, const ListIntervals& times,
             Events events);
  ~KindPoller();
  KindPoller(const KindPoller&) = delete;
  KindPoller& operator=(const KindPoller&) = delete;

  void start() { list(); }

  /// Schedules the next list again. Called when the need for one may have changed.
  void scheduleNextList();

 private:
  void list();
  void onList(const StoreListing& listing);
  ListNeed need() const;

  EventLoop& loop_;
  const Clock& clock_;
  MetadataStore& store_;
  std::string kind_;
  Events events_;
  ListSchedule schedule_;
  /// The last list contained no object.
  bool last_list_empty_ = false;
  TimePoint timer_due_{};
  TimerId timer_ = 0;
  bool in_flight_ = false;
  bool available_ = true;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
