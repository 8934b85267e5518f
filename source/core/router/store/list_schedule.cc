#include "source/core/router/store/list_schedule.h"

#include <algorithm>

namespace shedlever {

void ListSchedule::onListed(TimePoint now) {
  listed_ = true;
  listed_at_ = now;
  earliest_list_at_ = now;
  backoff_.onSuccess();
}

void ListSchedule::onFailed(TimePoint now) { earliest_list_at_ = now + backoff_.onFailure(); }

TimePoint ListSchedule::dueAt(ListNeed need) const {
  if (!listed_) {
    return earliest_list_at_;
  }
  Duration interval = intervals_.idle;
  if (need == ListNeed::Missing) {
    interval = intervals_.missing;
  } else if (need == ListNeed::Newer) {
    interval = intervals_.newer;
  }
  return std::max(listed_at_ + interval, earliest_list_at_);
}

}  // namespace shedlever
