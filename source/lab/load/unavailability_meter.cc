#include "source/lab/load/unavailability_meter.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "shedlever/outcome.h"

namespace shedlever::load {

bool tellsOfAvailability(const RequestRecord& record) {
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
  if (!tellsOfAvailability(record)) {
    return;
  }
  const std::string name = std::to_string(record.service) + "/" + record.key;
  const bool in_time = record.latency() <= slow_limit_;
  samples_[name].push_back({record.due, record.ended, record.outcome == CallerOutcome::Answered && in_time});
  if (record.outcome == CallerOutcome::Answered && !in_time) {
    // The answer itself proves the key available at its end.
    samples_[name].push_back({record.ended, record.ended, true});
  }
}

Unavailability UnavailabilityMeter::measure(std::vector<Sample> samples) const {
  std::stable_sort(samples.begin(), samples.end(),
                   [](const Sample& left, const Sample& right) { return left.due < right.due; });
  Unavailability result;
  bool open = false;
  Duration begin = Duration::zero();
  Duration last_failed_end = Duration::zero();
  const auto close = [&](Duration end) {
    const Duration proved = std::min(last_failed_end, std::max(end, begin)) - begin;
    result.proved_longest = std::max(result.proved_longest, proved);
    result.proved_sum += proved;
    result.longest = std::max(result.longest, end - begin);
    result.sum += end - begin;
    open = false;
  };
  for (const Sample& sample : samples) {
    if (sample.answered && open) {
      close(sample.due);
    } else if (!sample.answered) {
      begin = open ? begin : sample.due;
      last_failed_end = open ? std::max(last_failed_end, sample.ended) : sample.ended;
      open = true;
    }
  }
  if (open) {
    close(last_failed_end);
  }
  return result;
}

std::map<std::string, Unavailability> UnavailabilityMeter::perKey() const {
  std::map<std::string, Unavailability> result;
  for (const auto& [name, samples] : samples_) {
    const Unavailability measured = measure(samples);
    if (measured.sum > Duration::zero()) {
      result[name] = measured;
    }
  }
  return result;
}

Unavailability UnavailabilityMeter::total() const {
  Unavailability total;
  for (const auto& [name, one] : perKey()) {
    total.proved_longest = std::max(total.proved_longest, one.proved_longest);
    total.longest = std::max(total.longest, one.longest);
    total.proved_sum += one.proved_sum;
    total.sum += one.sum;
  }
  return total;
}

}  // namespace shedlever::load
