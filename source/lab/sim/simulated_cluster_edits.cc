/// @file
/// Edits of the owner table that the processes of a simulated cluster send to each other.

#include "source/lab/sim/simulated_cluster_node.h"

namespace shedlever::sim {

namespace {

using std::chrono::milliseconds;

/// One-way delay between two processes.
constexpr Duration kPeerDelay = milliseconds(2);

}  // namespace

void SimulatedCluster::setEditFaults(std::size_t node, const EditFaults& faults) { nodes_[node]->edit_faults = faults; }

std::uint64_t SimulatedCluster::tableChanges(const std::string& outcome) const {
  const auto found = table_changes_.find(outcome);
  return found == table_changes_.end() ? 0 : found->second;
}

void SimulatedCluster::addEditPorts(Node& node, OwnershipPorts& ports) {
  const auto find_node = [this](const NodeName& name) -> Node* {
    for (const auto& candidate : nodes_) {
      if (candidate->record.node == name) {
        return candidate.get();
      }
    }
    return nullptr;
  };
  ports.can_send_edits = [find_node](const NodeName& name) {
    const Node* other = find_node(name);
    return other != nullptr && other->manager;
  };
  ports.send_edits = [this, find_node, &node](const NodeName& to, const TableEditsFrame& frame, Duration timeout,
                                              const SharedWrites::ReplyCallback& done) {
    sendEdits(node, *find_node(to), frame, timeout, done);
  };
}

void SimulatedCluster::sendEdits(Node& from, Node& to, const TableEditsFrame& frame, Duration timeout,
                                 const SharedWrites::ReplyCallback& done) {
  const auto ended = std::make_shared<bool>(false);
  const auto end = [ended, done, alive = from.virtual_store->alive](const std::optional<TableEditsReplyFrame>& reply) {
    if (*alive && !*ended) {
      *ended = true;
      done(reply);
    }
  };
  time_.after(timeout, [end] { end(std::nullopt); });
  deliver(from, to, [this, &from, &to, frame, end] {
    to.manager->onTableEdits(frame, [this, &from, &to, end](const TableEditsReplyFrame& reply) {
      const TableWriter& writer = to.manager->tableWriter();
      const MetadataObject table{ownerTableName(ServiceName("search")), writer.revision(), writer.table().encode()};
      deliver(to, from, [&from, table, reply, end] {
        from.manager->onTableObject(table);
        end(reply);
      });
    });
  });
}

void SimulatedCluster::deliver(Node& from, Node& to, std::function<void()> event) {
  const auto faulty = [this](double EditFaults::*probability, const Node& left, const Node& right) {
    return happens(left.edit_faults.*probability) || happens(right.edit_faults.*probability);
  };
  const bool is_cut = from.edit_faults.cut || to.edit_faults.cut;
  if (is_cut || faulty(&EditFaults::lost_probability, from, to)) {
    return;
  }
  const Duration delay =
      faulty(&EditFaults::late_probability, from, to) ? Duration(milliseconds(1000 + random_.below(8000))) : kPeerDelay;
  time_.after(delay, [&to, generation = to.process_generation, event = std::move(event)] {
    if (to.process_generation != generation || !to.manager) {
      return;
    }
    if (to.paused) {
      to.waiting_messages.push_back(event);
    } else {
      event();
    }
  });
}

}  // namespace shedlever::sim
