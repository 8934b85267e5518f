#pragma once

/// @file
/// Follows a kind of objects whose every change need not be seen: lists it when another process has seen a newer one,
/// and now and then.
///
/// A watch tells every version of every object. Owner tables change many times a second while keys move, and each
/// version is the whole table: what one node then reads is more than a slow link carries.

#include <functional>
#include <memory>
#include <string>

#include "shedlever/metadata_store.h"
#include "source/net/event_loop.h"

namespace shedlever {

struct KindPollerConfig {
  /// Between two lists while others see newer objects.
  Duration pause = std::chrono::milliseconds(2500);
  /// Between two lists while nobody does.
  Duration idle = std::chrono::seconds(8);
  /// Between two lists while there is no object at all, or one that should be there is missing.
  Duration empty = std::chrono::seconds(1);
  /// After a list without an answer.
  Duration retry = std::chrono::milliseconds(400);
};

class KindPoller {
 public:
  struct Events {
    std::function<void(const MetadataObject&)> on_object;
    /// A whole list has been read.
    std::function<void()> on_listed;
    /// The store was lost, or regained.
    std::function<void(bool available)> on_available;
    /// @return whether an object that should be there has not been read.
    std::function<bool()> is_missing_some;
  };

  KindPoller(EventLoop& loop, const Clock& clock, MetadataStore& store, std::string kind,
             const KindPollerConfig& config, Events events);
  ~KindPoller();
  KindPoller(const KindPoller&) = delete;
  KindPoller& operator=(const KindPoller&) = delete;

  void start() { list(); }

  /// Another process has seen an object of this kind with that revision.
  void onSeenElsewhere(StoreRevision revision);

  /// An object that should be there by now may be missing.
  void lookForMissing();

  /// @return the newest revision of an object seen.
  StoreRevision seen() const { return seen_; }

 private:
  void list();
  void onList(const StoreListing& listing);
  void listAfter(Duration delay);

  EventLoop& loop_;
  const Clock& clock_;
  MetadataStore& store_;
  std::string kind_;
  KindPollerConfig config_;
  Events events_;
  StoreRevision seen_ = 0;
  StoreRevision seen_elsewhere_ = 0;
  TimePoint listed_at_{};
  TimePoint next_list_{};
  TimerId timer_ = 0;
  bool in_flight_ = false;
  bool available_ = true;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedlever
