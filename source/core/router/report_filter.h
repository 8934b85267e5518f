#pragma once

/// @file
/// Tells reports of the server that count from those that come late or from elsewhere. A life is a server's id and the
/// moment of its start: once a later start was reported, the lives before have ended.

#include <map>
#include <set>

#include "shedlever/platform_ports.h"

namespace shedlever {

class ReportFilter {
 public:
  /// @param service, address of the server beside this process; reports of others don't count.
  ReportFilter(ServiceName service, Endpoint address) : service_(std::move(service)), address_(std::move(address)) {}

  /// @return whether the report is of this server and of a life that is not known to have ended.
  bool isAcceptable(const ServerReport& report) const;

  /// @return whether the report says something new of a life that has not ended.
  bool accept(const ServerReport& report);

  /// That life has ended; late reports of it don't count.
  void markEnded(const InstanceId& instance) { ended_.insert(instance); }

 private:
  /// @return whether a later start of the same server has been reported.
  bool isFromEarlierInstance(const ServerReport& report) const;

  ServiceName service_;
  Endpoint address_;
  std::set<InstanceId> ended_;
  /// Highest number of a report of each life.
  std::map<InstanceId, std::uint64_t> sequences_;
  std::map<ServerId, ServerStartMs> latest_starts_;
};

}  // namespace shedlever
