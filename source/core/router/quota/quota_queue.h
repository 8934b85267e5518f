#pragma once

/// @file
/// Requests of one tenant that wait at a gateway for tokens of the tenant's quota. While one question to the holder is
/// under way, further requests wait for the next one, so that a busy tenant costs few messages.

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "shedlever/time.h"
#include "source/core/router/quota/quota_holder.h"

namespace shedlever {

enum class QuotaVerdict : std::uint8_t {
  Granted,
  Exceeded,     ///< the tenant has used up its quota
  Unavailable,  ///< no holder of the quota has answered
};

struct QuotaDecision {
  QuotaVerdict verdict = QuotaVerdict::Unavailable;
  /// For refusals: suggested delay before a retry.
  Duration retry_after{};
};

using QuotaCallback = std::function<void(const QuotaDecision&)>;

class QuotaQueue {
 public:
  void add(QuotaCallback done) { waiting_.push_back(std::move(done)); }
  /// A granted token was not used.
  void giveBack() { ++unused_; }

  /// @return whether a question may be sent now.
  bool mayAsk() const { return asked_ == 0 && !waiting_.empty(); }
  /// A question is sent for all waiting requests. @return the number of tokens that it asks for.
  std::uint32_t onAsked();
  /// @return unused tokens, which go back with the next question.
  std::uint32_t takeUnused();
  /// Ends the requests of the question: as many as there are tokens are granted, in the order of their arrival.
  /// @return the callbacks to be run with their decisions; running them may add requests.
  std::vector<std::pair<QuotaCallback, QuotaDecision>> onAnswered(const QuotaGrant& grant);
  /// No holder has answered.
  std::vector<std::pair<QuotaCallback, QuotaDecision>> onUnavailable(Duration retry_after);

  bool idle() const { return waiting_.empty() && asked_ == 0 && unused_ == 0; }

 private:
  std::vector<std::pair<QuotaCallback, QuotaDecision>> end(std::uint32_t granted, const QuotaDecision& refusal);

  std::deque<QuotaCallback> waiting_;
  /// Number of waiting requests, from the front, that the open question is for; 0 if there is no open question.
  std::size_t asked_ = 0;
  std::uint32_t unused_ = 0;
};

}  // namespace shedlever
