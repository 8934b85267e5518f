#include "source/core/router/quota/quota_queue.h"

#include <algorithm>
#include <utility>

namespace shedlever {

std::uint32_t QuotaQueue::onAsked() {
  asked_ = waiting_.size();
  return static_cast<std::uint32_t>(asked_);
}

std::uint32_t QuotaQueue::takeUnused() { return std::exchange(unused_, 0); }

std::vector<std::pair<QuotaCallback, QuotaDecision>> QuotaQueue::onAnswered(const QuotaGrant& grant) {
  return end(grant.granted, {QuotaVerdict::Exceeded, grant.retry_after});
}

std::vector<std::pair<QuotaCallback, QuotaDecision>> QuotaQueue::onUnavailable(Duration retry_after) {
  return end(0, {QuotaVerdict::Unavailable, retry_after});
}

std::vector<std::pair<QuotaCallback, QuotaDecision>> QuotaQueue::end(std::uint32_t granted,
                                                                     const QuotaDecision& refusal) {
  std::vector<std::pair<QuotaCallback, QuotaDecision>> ended;
  for (std::size_t i = 0; i < asked_; ++i) {
    ended.emplace_back(std::move(waiting_.front()), i < granted ? QuotaDecision{QuotaVerdict::Granted, {}} : refusal);
    waiting_.pop_front();
  }
  asked_ = 0;
  return ended;
}

}  // namespace shedlever
