#pragma once

/// @file
/// One node of a simulated cluster: its process, its server and the commands between them. Internal to the cluster.

#include <memory>
#include <utility>

#include "source/core/router/ownership/heartbeat_responder.h"
#include "source/core/router/store/restorable_store.h"
#include "source/lab/sim/simulated_cluster.h"

namespace shedlever::sim {

/// One-way delay between a process and its local server.
inline constexpr Duration kLoopbackDelay = std::chrono::milliseconds(1);
/// A command without a response within this time is treated as lost.
inline constexpr Duration kCommandTimeout = kGrantTimeout;

struct SimulatedCluster::Node {
  std::size_t index = 0;
  std::unique_ptr<VirtualMetadataStore> virtual_store;
  std::unique_ptr<RestorableStore> store;
  std::unique_ptr<ServerCommandChannel> commands;
  std::unique_ptr<ServerDirectory> directory;
  std::unique_ptr<OwnershipManager> manager;
  std::unique_ptr<HeartbeatResponder> responder;
  /// Latest heartbeat that the current process received from each server instance.
  std::map<InstanceId, std::uint64_t> latest_sequences;
  /// Whether the current process has read the owner table from the store.
  bool table_read = false;
  /// Owner table that peers send to a process when it starts.
  MetadataObject peer_table;
  /// Sequence number of the latest heartbeat of the current server instance.
  std::uint64_t last_sequence = 0;
  /// Null if no server is running.
  std::shared_ptr<SimulatedServer> server;
  ServerFaults server_faults;
  StoreFaults store_faults;
  EditFaults edit_faults;
  /// Messages that arrived while the process was paused.
  std::vector<std::function<void()>> waiting_messages;
  NodeRecord record;
  double occupancy = 0;
  double failure_ratio = 0;
  /// End of the lease of the process that was killed last.
  TimePoint lease_until{};
  /// Incremented when a process starts or is killed; events scheduled in an earlier generation are ignored.
  std::uint64_t process_generation = 0;
  bool paused = false;
  bool knows_records_only = false;
};

/// Sends commands from a node to its server.
/// Scheduled events refer to the cluster and the node and not to this object, which is replaced when the process
/// restarts.
class SimulatedCluster::ServerCommandChannel final : public ServerCommands {
 public:
  ServerCommandChannel(SimulatedCluster& cluster, Node& node) : cluster_(cluster), node_(node) {}

  void grant(const GrantCommand& command, std::function<void(CommandStatus)> done) override {
    const auto apply = [&cluster = cluster_, command](SimulatedServer& server, bool late) {
      if (!server.grant(command, late)) {
        return CommandStatus::Superseded;
      }
      if (!late) {
        cluster.checkAcquisition(server, command.first, command.last, command.token);
      }
      return CommandStatus::Done;
    };
    send<CommandStatus>(apply, CommandStatus::NoAnswer, CommandStatus::ServerGone, std::move(done));
  }

  void release(const ReleaseCommand& command, std::function<void(ReleaseResult)> done) override {
    const auto apply = [command](SimulatedServer& server, bool) {
      return ReleaseResult{CommandStatus::Done, server.release(command)};
    };
    send<ReleaseResult>(apply, {CommandStatus::NoAnswer, {}}, {CommandStatus::ServerGone, {}}, std::move(done));
  }

 private:
  template <class Answer>
  void send(const std::function<Answer(SimulatedServer&, bool)>& apply, const Answer& no_answer,
            const Answer& server_gone, std::function<void(Answer)> done) {
    VirtualTime& time = cluster_.time_;
    const std::shared_ptr<SimulatedServer> server = node_.server;
    const auto alive = node_.virtual_store->alive;
    const auto reply = [alive, done](const Answer& answer) {
      if (*alive) {
        done(answer);
      }
    };
    if (!server) {
      time.after(kLoopbackDelay, [reply, server_gone] { reply(server_gone); });
      return;
    }
    const bool late = cluster_.happens(node_.server_faults.late_probability);
    if (node_.server_faults.silent || late) {
      if (late) {
        time.after(std::chrono::milliseconds(2000 + cluster_.random_.below(10000)),
                   [apply, server] { apply(*server, true); });
      }
      time.after(kCommandTimeout, [reply, no_answer] { reply(no_answer); });
      return;
    }
    time.after(kLoopbackDelay, [&node = node_, apply, server, reply, server_gone] {
      reply(node.server == server ? apply(*server, false) : server_gone);
    });
  }

  SimulatedCluster& cluster_;
  Node& node_;
};

}  // namespace shedlever::sim
