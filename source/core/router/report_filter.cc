#include "source/core/router/report_filter.h"

namespace shedlever {

bool ReportFilter::isAcceptable(const ServerReport& report) const {
  const bool ours = report.service == service_ && report.address == address_;
  return ours && !ended_.contains(report.instance) && !isFromEarlierInstance(report);
}

bool ReportFilter::isFromEarlierInstance(const ServerReport& report) const {
  const auto latest = latest_starts_.find(serverIdOf(report.instance));
  // Who has told its start once tells it always: a report without one is another writer's.
  return latest != latest_starts_.end() && report.start.value_or(0) < latest->second;
}

bool ReportFilter::accept(const ServerReport& report) {
  if (!isAcceptable(report)) {
    return false;
  }
  if (report.start) {
    latest_starts_[serverIdOf(report.instance)] = *report.start;
  }
  if (!report.sequence) {
    return true;
  }
  const auto [last, is_new] = sequences_.try_emplace(report.instance, *report.sequence);
  if (!is_new && *report.sequence <= last->second) {
    return false;
  }
  last->second = *report.sequence;
  return true;
}

}  // namespace shedlever
