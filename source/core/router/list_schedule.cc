#include "source/core/router/list_schedule.h"

#include <algorithm>

namespace shedlever {

void ListSchedule::onListed(TimePoint now) {
  listed_ = true;
  listed_at_ = now;
  not_before_ = now;
  backoff_.onSuccess();
}

void ListSchedule::onFailed(TimePoint now) { not_before_ = now + backoff_.onFailure(); }

TimePoint ListSchedule::due(ListNeed need) const {
  if (!listed_) {
    return not_before_;
  }
  Duration pause = times_.idle;
  if (need == ListNeed::Missing) {
    pause = times_.missing;
  } else if (need == ListNeed::Newer) {
    pause = times_.newer;
  }
  return std::max(listed_at_ + pause, not_before_);
}

}  // namespace shedlever
