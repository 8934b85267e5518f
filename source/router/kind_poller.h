#pragma once

/// @file
/// Follows a kind of objects whose every change need not be seen: lists it while something is known to be lacking, and
/// now and then.
///
/// A watch tells every version of every object. Owner tables change many times a second while keys move, and each
/// version is the whole table: what one node then reads is more than a slow link carries.

#include <functional>
#include <memory>
#include <string>

#include "shedlever/metadata_store.h"
#include "source/core/router/list_schedule.h"
#include "source/net/event_loop.h"

namespace shedlever {

class KindPoller {
 public:
  struct Events {
    std::function<void(const MetadataObject&)> on_object;
    /// A whole list has been read.
    std::function<void()> on_listed;
    /// The store was lost, or regained.
    std::function<void(bool available)> on_available;
    /// @return what is known to be lacking.
    std::function<ListNeed()> need;
  };

  KindPoller(EventLoop& loop, const Clock& clock, MetadataStore& store, std::string kind, const ListIntervals& times,
             Events events);
  ~KindPoller();
  KindPoller(const KindPoller&) = delete;
  KindPoller& operator=(const KindPoller&) = delete;

  void start() { list(); }

  /// What is lacking may have changed: plans the next list anew.
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
  /// The last list held no object at all.
  bool last_list_empty_ = false;
  /// When the timer ends.
  TimePoint timer_due_{};
  TimerId timer_ = 0;
  bool in_flight_ = false;
  bool available_ = true;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
