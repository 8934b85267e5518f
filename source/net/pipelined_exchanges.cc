#include "source/net/pipelined_exchanges.h"

#include <algorithm>
#include <utility>

namespace shedlever {

PipelinedExchanges::Number PipelinedExchanges::add(bool is_head, bool keeps_connection) {
  exchanges_.push_back({++last_number_, is_head, keeps_connection, {}, std::nullopt});
  ++pending_;
  return last_number_;
}

PipelinedExchanges::Exchange* PipelinedExchanges::findPending(Number number) {
  const auto found = std::find_if(exchanges_.begin(), exchanges_.end(),
                                  [number](const Exchange& exchange) { return exchange.number == number; });
  return found == exchanges_.end() || found->response ? nullptr : &*found;
}

bool PipelinedExchanges::isPending(Number number) const {
  return std::any_of(exchanges_.begin(), exchanges_.end(),
                     [number](const Exchange& exchange) { return exchange.number == number && !exchange.response; });
}

bool PipelinedExchanges::setResponse(Number number, HttpResponse response) {
  Exchange* exchange = findPending(number);
  if (exchange == nullptr) {
    return false;
  }
  ready_bytes_ += response.body.size();
  exchange->response = std::move(response);
  exchange->on_disconnect = {};
  --pending_;
  return true;
}

void PipelinedExchanges::setDisconnectCallback(Number number, DisconnectCallback callback) {
  if (Exchange* exchange = findPending(number)) {
    exchange->on_disconnect = std::move(callback);
  }
}

const PipelinedExchanges::Exchange* PipelinedExchanges::ready() const {
  return exchanges_.empty() || !exchanges_.front().response ? nullptr : &exchanges_.front();
}

PipelinedExchanges::Exchange PipelinedExchanges::takeReady() {
  Exchange exchange = std::move(exchanges_.front());
  exchanges_.pop_front();
  ready_bytes_ -= exchange.response->body.size();
  return exchange;
}

std::vector<PipelinedExchanges::DisconnectCallback> PipelinedExchanges::clear() {
  std::vector<DisconnectCallback> callbacks;
  for (Exchange& exchange : exchanges_) {
    if (exchange.on_disconnect) {
      callbacks.push_back(std::move(exchange.on_disconnect));
    }
  }
  exchanges_.clear();
  pending_ = 0;
  ready_bytes_ = 0;
  return callbacks;
}

}  // namespace shedlever
