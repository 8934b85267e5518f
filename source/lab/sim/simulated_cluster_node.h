#pragma once

/// @file
/// One node of a simulated world: its process, its server, and the ways between them. Of the world's own files alone.

#include <memory>
#include <utility>

#include "source/core/router/heartbeat_responder.h"
#include "source/core/router/restorable_store.h"
#include "source/lab/sim/simulated_cluster.h"

namespace shedlever::sim {

/// From a process to the server beside it, one way.
inline constexpr Duration kLoopbackDelay = std::chrono::milliseconds(1);
/// An order without an answer for so long is taken as lost.
inline constexpr Duration kCommandTimeout = std::chrono::milliseconds(300);

struct SimulatedCluster::Node {
  std::size_t index = 0;
  std::unique_ptr<VirtualMetadataStore> virtual_store;
  std::unique_ptr<RestorableStore> store;
  std::unique_ptr<ServerCommandChannel> commands;
  std::unique_ptr<ServerDirectory> directory;
  std::unique_ptr<OwnershipManager> manager;
  std::unique_ptr<HeartbeatResponder> responder;
  /// Of the present process: the newest heartbeat of each life of the server, and whether the store has told the table.
  std::map<InstanceId, std::uint64_t> latest_sequences;
  bool table_read = false;
  /// Table that others tell a process that starts.
  MetadataObject peer_table;
  /// Of the present life of the server: its heartbeats so far.
  std::uint64_t last_sequence = 0;
  /// Null while no server runs.
  std::shared_ptr<SimulatedServer> server;
  ServerFaults server_faults;
  StoreFaults store_faults;
  NodeRecord record;
  double occupancy = 0;
  double failure_ratio = 0;
  /// Of the process that was killed last.
  TimePoint lease_until{};
  /// Numbers the lives of the process; ticks of an earlier one do nothing.
  std::uint64_t process_generation = 0;
  bool paused = false;
  bool knows_records_only = false;
};

/// The way from a node to its server.
/// What is under way refers to the world and the node, never to this object: a restarted process has a new one.
class SimulatedCluster::ServerCommandChannel final : public ServerCommands {
 public:
  ServerCommandChannel(SimulatedCluster& world, Node& node) : world_(world), node_(node) {}

  void grant(const GrantCommand& order, std::function<void(CommandStatus)> done) override {
    const auto apply = [&world = world_, order](SimulatedServer& server, bool late) {
      if (!server.grant(order, late)) {
        return CommandStatus::Superseded;
      }
      if (!late) {
        world.checkAcquisition(server, order.first, order.last, order.token);
      }
      return CommandStatus::Done;
    };
    send<CommandStatus>(apply, CommandStatus::NoAnswer, CommandStatus::ServerGone, std::move(done));
  }

  void release(const ReleaseCommand& order, std::function<void(ReleaseResult)> done) override {
    const auto apply = [order](SimulatedServer& server, bool) {
      return ReleaseResult{CommandStatus::Done, server.release(order)};
    };
    send<ReleaseResult>(apply, {CommandStatus::NoAnswer, {}}, {CommandStatus::ServerGone, {}}, std::move(done));
  }

 private:
  template <class Answer>
  void send(const std::function<Answer(SimulatedServer&, bool)>& apply, const Answer& no_answer, const Answer& gone,
            std::function<void(Answer)> done) {
    VirtualTime& time = world_.time_;
    const std::shared_ptr<SimulatedServer> server = node_.server;
    const auto alive = node_.virtual_store->alive;
    const auto tell = [alive, done](const Answer& answer) {
      if (*alive) {
        done(answer);
      }
    };
    if (!server) {
      time.after(kLoopbackDelay, [tell, gone] { tell(gone); });
      return;
    }
    const bool late = world_.happens(node_.server_faults.late_probability);
    if (node_.server_faults.silent || late) {
      if (late) {
        time.after(std::chrono::milliseconds(2000 + world_.random_.below(10000)),
                   [apply, server] { apply(*server, true); });
      }
      time.after(kCommandTimeout, [tell, no_answer] { tell(no_answer); });
      return;
    }
    time.after(kLoopbackDelay, [&node = node_, apply, server, tell, gone] {
      tell(node.server == server ? apply(*server, false) : gone);
    });
  }

  SimulatedCluster& world_;
  Node& node_;
};

}  // namespace shedlever::sim
