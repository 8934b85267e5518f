#include "source/lab/load/unavailability_meter.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "shedlever/outcome.h"

namespace shedlever::load {

bool reflectsAvailability(const RequestRecord& record) {
  constexpr std::array kOwnFault = {
      Reason::BadRequest,       Reason::Unauthenticated,     Reason::UnknownService,        Reason::TooLarge,
      Reason::DuplicateUnknown, Reason::DuplicateInProgress, Reason::MissingIdempotencyKey, Reason::Quarantined};
  if (record.outcome == CallerOutcome::NotSent) {
    return false;
  }
  return std::none_of(kOwnFault.begin(), kOwnFault.end(),
                      [&record](Reason reason) { return toString(reason) == record.reason; });
}

void UnavailabilityMeter::add(const RequestRecord& record) {
  if (!reflectsAvailability(record)) {
    return;
  }
  const std::string name = std::to_string(record.service) + "/" + record.key;
  const bool in_time = record.latency() <= slow_threshold_;
  samples_[name].push_back({record.due, record.ended, record.outcome == CallerOutcome::Answered && in_time});
  if (record.outcome == CallerOutcome::Answered && !in_time) {
    // The response shows that the key was available when it arrived.
    samples_[name].push_back({record.ended, record.ended, true});
  }
}

Unavailability UnavailabilityMeter::measure(std::vector<Sample> samples) const {
  std::stable_sort(samples.begin(), samples.end(),
                   [](const Sample& left, const Sample& right) { return left.due < right.due; });
  Unavailability result;
  bool in_gap = false;
  Duration begin = Duration::zero();
  Duration last_failed_end = Duration::zero();
  const auto end_gap = [&](Duration end) {
    const Duration lower_bound = std::min(last_failed_end, std::max(end, begin)) - begin;
    result.longest_lower_bound = std::max(result.longest_lower_bound, lower_bound);
    result.total_lower_bound += lower_bound;
    result.longest_upper_bound = std::max(result.longest_upper_bound, end - begin);
    result.total_upper_bound += end - begin;
    in_gap = false;
  };
  for (const Sample& sample : samples) {
    if (sample.answered && in_gap) {
      end_gap(sample.due);
    } else if (!sample.answered) {
      begin = in_gap ? begin : sample.due;
      last_failed_end = in_gap ? std::max(last_failed_end, sample.ended) : sample.ended;
      in_gap = true;
    }
  }
  if (in_gap) {
    end_gap(last_failed_end);
  }
  return result;
}

std::map<std::string, Unavailability> UnavailabilityMeter::perKey() const {
  std::map<std::string, Unavailability> result;
  for (const auto& [name, samples] : samples_) {
    const Unavailability measured = measure(samples);
    if (measured.total_upper_bound > Duration::zero()) {
      result[name] = measured;
    }
  }
  return result;
}

Unavailability UnavailabilityMeter::total() const {
  Unavailability total;
  for (const auto& [name, one] : perKey()) {
    total.longest_lower_bound = std::max(total.longest_lower_bound, one.longest_lower_bound);
    total.longest_upper_bound = std::max(total.longest_upper_bound, one.longest_upper_bound);
    total.total_lower_bound += one.total_lower_bound;
    total.total_upper_bound += one.total_upper_bound;
  }
  return total;
}

}  // namespace shedlever::load
