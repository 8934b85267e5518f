#pragma once

/// @file
/// How owners of one service's keys hear of each other's load.
///
/// Replies to requests tell it too, but the more nodes there are, the fewer requests each sends to each owner: at 95
/// owners one hears of another every ten seconds or so, and takes it for idle meanwhile.

#include <functional>
#include <map>

#include "source/core/router/ownership/demand_board.h"
#include "source/core/router/ownership/write_combiner.h"
#include "source/router/peer_links.h"

namespace shedlever {

/// Tells the process that writes the table for all what is asked of this process's server; that one tells all of them
/// what is asked of each, once a second.
class DemandExchange {
 public:
  struct Ports {
    const Clock* clock = nullptr;
    ServerDirectory* directory = nullptr;
    PeerLinks* links = nullptr;
    /// @return whether a server of the service runs beside this process and stays.
    std::function<bool()> serves;
    /// @return what is asked of it.
    std::function<ServerLoad()> load;
    /// Sends a frame on another process's stream.
    std::function<void(std::uint64_t stream, const RouterFrame&)> send;
  };

  DemandExchange(NodeName self, ServiceName service, Ports ports);

  /// Every 50 ms or so, by owners alone.
  void tick();

  /// Another process tells of its server.
  void onTold(std::uint64_t stream, const DemandsFrame& demands);
  void onStreamEnd(std::uint64_t stream) { told_by_.erase(stream); }
  /// The process that gathers these tells of all.
  void onDemands(const DemandsFrame& demands);

 private:
  void tellAll(TimePoint now);

  NodeName self_;
  Ports ports_;
  WriteCombiner combiner_;
  DemandBoard board_;
  /// When each stream's process told last.
  std::map<std::uint64_t, TimePoint> told_by_;
  TimePoint next_{};
};

}  // namespace shedlever
