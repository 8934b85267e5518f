#include "source/core/router/directory/report_filter.h"

namespace shedlever {

bool ReportFilter::isAcceptable(const ServerReport& report) const {
  const bool from_own_server = report.service == service_ && report.address == address_;
  return from_own_server && !ended_.contains(report.instance) && !isFromEarlierInstance(report);
}

bool ReportFilter::isFromEarlierInstance(const ServerReport& report) const {
  const auto latest = latest_starts_.find(serverIdOf(report.instance));
  // A server that reports its start does so always, so a report without one comes from another sender.
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
  const auto [last, inserted] = sequences_.try_emplace(report.instance, *report.sequence);
  if (!inserted && *report.sequence <= last->second) {
    return false;
  }
  last->second = *report.sequence;
  return true;
}

}  // namespace shedlever
