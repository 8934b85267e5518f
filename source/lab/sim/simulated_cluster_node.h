#pragma once

/// @file
/// One node of a simulated cluster: its process, its server and the commands between them. Internal to the cluster.

#include <algorithm>
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
  /// Accepts connections at the node's address; null if connections are refused.
  std::shared_ptr<SimulatedServer> server;
  /// All running instances in the order of their starts, with those that refuse connections.
  std::vector<std::shared_ptr<SimulatedServer>> running_servers;
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

  bool runs(const std::shared_ptr<SimulatedServer>& instance) const {
    return std::find(running_servers.begin(), running_servers.end(), instance) != running_servers.end();
  }

  /// @return the running instance whose reports a process that starts now accepts; null if there is none. The instance
  ///   that accepts connections takes precedence.
  std::shared_ptr<SimulatedServer> reportingServer() const {
    if (server && server->has_reported) {
      return server;
    }
    const auto found = std::find_if(running_servers.rbegin(), running_servers.rend(),
                                    [](const auto& instance) { return instance->has_reported; });
    return found == running_servers.rend() ? nullptr : *found;
  }
};

/// Sends commands to the server that accepts connections at the node's address, which refuses those for another
/// instance.
/// Scheduled events refer to the cluster and the node and not to this object, which is replaced when the process
/// restarts.
class SimulatedCluster::ServerCommandChannel final : public ServerCommands {
 public:
  ServerCommandChannel(SimulatedCluster& cluster, Node& node) : cluster_(cluster), node_(node) {}

  void grant(const GrantCommand& command, std::function<void(CommandStatus)> done) override {
    const auto apply = [&cluster = cluster_, command](SimulatedServer& server, bool late) {
      if (server.instance != command.instance) {
        return CommandStatus::WrongInstance;
      }
      if (!server.grant(command, late)) {
        return CommandStatus::Superseded;
      }
      if (!late) {
        cluster.checkAcquisition(server, command.first, command.last, command.token);
      }
      return CommandStatus::Done;
    };
    send<CommandStatus>(apply, CommandStatus::NoAnswer, CommandStatus::ServerGone, Duration::zero(), std::move(done));
  }

  void release(const ReleaseCommand& command, std::function<void(ReleaseResult)> done) override {
    const Duration work = node_.server_faults.work_after_release;
    const auto apply = [command, work](SimulatedServer& server, bool) {
      if (server.instance != command.instance) {
        return ReleaseResult{CommandStatus::WrongInstance, {}};
      }
      return ReleaseResult{CommandStatus::Done, server.release(command, work)};
    };
    send<ReleaseResult>(apply, {CommandStatus::NoAnswer, {}}, {CommandStatus::ServerGone, {}}, work, std::move(done));
  }

 private:
  /// @param work time between the execution of the command and its answer.
  template <class Answer>
  void send(const std::function<Answer(SimulatedServer&, bool)>& apply, const Answer& no_answer,
            const Answer& server_gone, Duration work, std::function<void(Answer)> done) {
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
    time.after(kLoopbackDelay, [&node = node_, &time, apply, server, reply, no_answer, server_gone, work] {
      if (!node.runs(server)) {
        reply(server_gone);
        return;
      }
      const Answer answer = apply(*server, false);
      if (work == Duration::zero()) {
        reply(answer);
        return;
      }
      time.after(work, [&node, server, reply, answer, no_answer] { reply(node.runs(server) ? answer : no_answer); });
    });
  }

  SimulatedCluster& cluster_;
  Node& node_;
};

}  // namespace shedlever::sim
