#include "source/router/table_edits.h"

#include <utility>
#include <vector>

namespace shedlever {

namespace {

/// Gathering takes up to 50 ms, the store 4 ms and 50 times that when it is slow, twice if the write before is under
/// way. Who writes by itself then meets the writes of all others, each as slow.
constexpr Duration kAnswerLimit = std::chrono::milliseconds(1000);
/// A process without an answer for so long is asked whether it is there; half a second later it counts as lost.
constexpr Duration kProbeAfter = std::chrono::milliseconds(300);
/// Changes that wait here beyond this are refused: whoever asks writes by itself then.
constexpr std::size_t kMostWaiting = 64;

}  // namespace

TableEdits::TableEdits(NodeName self, ServiceName service, Ports ports)
    : ports_(std::move(ports)), combiner_(std::move(self), std::move(service)) {}

TableEdits::~TableEdits() {
  *alive_ = false;
  for (const auto& [exchange, asked] : asked_) {
    ports_.loop->cancel(asked.timer);
  }
}

bool TableEdits::editElsewhere(const TableDelta& delta, StoreRevision known, FenceToken last_token,
                               std::function<void(const TableEditAnswer&)> answer) {
  const NodeName node = combiner_.choose(*ports_.directory, ports_.serves(), ports_.clock->now());
  if (node.empty()) {
    return false;
  }
  const ExchangeId exchange = ++last_exchange_;
  Asked& asked = asked_[exchange];
  asked.node = node;
  asked.answer = std::move(answer);
  asked.timer = ports_.loop->runAfter(kProbeAfter, [this, exchange] { probe(exchange); });
  ports_.links->tell(node, TableEditFrame{exchange, known, last_token, delta});
  return true;
}

void TableEdits::probe(ExchangeId exchange) {
  Asked& asked = asked_.at(exchange);
  ports_.links->probe(asked.node);
  asked.timer = ports_.loop->runAfter(kAnswerLimit - kProbeAfter, [this, exchange] { onSilence(exchange); });
}

void TableEdits::onLost(const NodeName& node) {
  std::vector<ExchangeId> lost;
  for (const auto& [exchange, asked] : asked_) {
    if (asked.node == node) {
      lost.push_back(exchange);
    }
  }
  for (const ExchangeId exchange : lost) {
    onSilence(exchange);
  }
}

void TableEdits::onSilence(ExchangeId exchange) {
  const NodeName node = asked_.at(exchange).node;
  ports_.log->write("ownership", "edit-unanswered", {{"node", node.value}});
  ports_.metrics->onEvent("table-edit-unanswered");
  combiner_.onFailed(node, ports_.clock->now());
  end(exchange, {});
}

void TableEdits::end(ExchangeId exchange, const TableEditAnswer& answer) {
  auto node = asked_.extract(exchange);
  if (node.empty()) {
    return;
  }
  ports_.loop->cancel(node.mapped().timer);
  if (answer.status == TableEditStatus::Refused) {
    combiner_.onFailed(node.mapped().node, ports_.clock->now());
  }
  node.mapped().answer(answer);
}

void TableEdits::onReply(const TableEditReplyFrame& reply) { end(reply.exchange, {reply.status, reply.table}); }

void TableEdits::onEdit(std::uint64_t stream, const TableEditFrame& edit) {
  OwnershipKeeper* keeper = ports_.keeper();
  const bool takes = keeper != nullptr && keeper->tableWriter().exists() && ports_.serves() &&
                     keeper->tableWriter().waiting() < kMostWaiting;
  if (!takes) {
    reply(stream, edit, TableEditStatus::Refused);
    return;
  }
  ports_.metrics->onEvent("table-edit-for-other");
  keeper->changeTableFor(edit.delta, [this, alive = alive_, stream, edit](bool written) {
    if (*alive) {
      reply(stream, edit, written ? TableEditStatus::Made : TableEditStatus::NotApplicable);
    }
  });
}

void TableEdits::reply(std::uint64_t stream, const TableEditFrame& edit, TableEditStatus status) const {
  TableEditReplyFrame answer;
  answer.exchange = edit.exchange;
  answer.status = status;
  const OwnershipKeeper* keeper = ports_.keeper();
  if (keeper != nullptr && keeper->tableWriter().revision() > edit.known) {
    answer.table = keeper->tableWriter().rowsFor(edit);
  }
  ports_.send(stream, answer);
}

}  // namespace shedlever
