#pragma once

/// @file
/// Separates valid reports of this node's server from late ones and from those of other servers. A server instance is
/// identified by the server's id and start time; a report of a later start shows that earlier instances have ended.

#include <map>
#include <set>

#include "shedlever/platform_ports.h"

namespace shedlever {

class ReportFilter {
 public:
  /// @param service, address of the local server; other reports are rejected.
  ReportFilter(ServiceName service, Endpoint address) : service_(std::move(service)), address_(std::move(address)) {}

  /// @return whether the report is from this server and from an instance that is not known to have ended.
  bool isAcceptable(const ServerReport& report) const;

  /// Accepts a report that is newer than all earlier ones of an instance that has not ended.
  /// @return whether the report was accepted.
  bool accept(const ServerReport& report);

  /// The instance has ended; its late reports are rejected.
  void markEnded(const InstanceId& instance) { ended_.insert(instance); }

 private:
  /// @return whether a later start of the same server has been reported.
  bool isFromEarlierInstance(const ServerReport& report) const;

  ServiceName service_;
  Endpoint address_;
  std::set<InstanceId> ended_;
  /// Highest report number of each instance.
  std::map<InstanceId, std::uint64_t> sequences_;
  std::map<ServerId, ServerStartMs> latest_starts_;
};

}  // namespace shedlever
