#include "source/core/router/link/arrived_requests.h"

#include <utility>

namespace shedlever {

void ArrivedRequests::add(ArrivedRequest request) { requests_.push_back({std::move(request), std::nullopt}); }

bool ArrivedRequests::cancel(ExchangeId exchange) {
  const auto is_cancelled = [exchange](const Waiting& waiting) { return waiting.request.frame.exchange == exchange; };
  return std::erase_if(requests_, is_cancelled) > 0;
}

std::vector<ArrivedRequest> ArrivedRequests::takeDue(std::uint64_t read_bytes, std::uint64_t arrived_bytes) {
  for (auto waiting = requests_.rbegin(); waiting != requests_.rend() && !waiting->begins_at_byte; ++waiting) {
    waiting->begins_at_byte = arrived_bytes;
  }
  std::vector<ArrivedRequest> due;
  while (!requests_.empty() && requests_.front().begins_at_byte <= read_bytes) {
    due.push_back(std::move(requests_.front().request));
    requests_.pop_front();
  }
  return due;
}

}  // namespace shedlever
