#include "source/net/link_pacer.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace shedlever {

namespace {

/// The transmission time of one piece, which is the longest wait of a small message.
constexpr Duration kPieceTransmissionTime = std::chrono::milliseconds(8);
constexpr std::size_t kMinPieceBytes = 4U << 10U;
constexpr std::size_t kMaxPieceBytes = 256U << 10U;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kBytesPerKilobyte = 1000.0;

}  // namespace

LinkPacer::LinkPacer(EventLoop& loop, const Clock& clock, const LinkConfig& config)
    : loop_(loop), clock_(clock), config_(config), budget_(config) {}

LinkPacer::~LinkPacer() { loop_.cancel(timer_); }

std::size_t LinkPacer::pieceBytes() const {
  if (!budget_.isLimited()) {
    return std::numeric_limits<std::size_t>::max();
  }
  const double bytes =
      config_.bytes_per_second * static_cast<double>(kPieceTransmissionTime.count()) / kMicrosecondsPerSecond;
  return std::clamp(static_cast<std::size_t>(bytes), kMinPieceBytes, kMaxPieceBytes);
}

std::uint32_t LinkPacer::kilobytesPerSecond() const {
  if (!budget_.isLimited()) {
    return 0;
  }
  return std::max(static_cast<std::uint32_t>(config_.bytes_per_second / kBytesPerKilobyte), 1U);
}

void LinkPacer::recordSent(std::size_t bytes) {
  if (budget_.isLimited()) {
    budget_.spend(bytes, clock_.now());
  }
}

TransferId LinkPacer::start(std::size_t bytes, Writer write) {
  const TransferId id = ++last_id_;
  transfers_.push_back({id, bytes, std::move(write)});
  backlog_bytes_ += bytes;
  if (timer_ == 0 && !running_) {
    run();
  }
  return id;
}

void LinkPacer::cancel(TransferId transfer) {
  const auto found = std::find_if(transfers_.begin(), transfers_.end(),
                                  [transfer](const Transfer& entry) { return entry.id == transfer; });
  // A transfer can't be cancelled from inside its writer, whose result decides when the transfer ends.
  if (found == transfers_.end() || (running_ && found == transfers_.begin())) {
    return;
  }
  backlog_bytes_ -= found->remaining_bytes;
  transfers_.erase(found);
}

void LinkPacer::run() {
  running_ = true;
  Duration wait{};
  while (!transfers_.empty()) {
    wait = budget_.timeUntilAvailable(clock_.now());
    if (wait > Duration::zero()) {
      break;
    }
    Transfer& transfer = transfers_.front();
    const std::size_t max_bytes = std::min(pieceBytes(), transfer.remaining_bytes);
    const std::size_t written = transfer.write(max_bytes);
    budget_.spend(written, clock_.now());
    const bool done = written < max_bytes || written == transfer.remaining_bytes;
    const std::size_t finished_bytes = done ? transfer.remaining_bytes : written;
    backlog_bytes_ -= finished_bytes;
    transfer.remaining_bytes -= finished_bytes;
    if (done) {
      transfers_.pop_front();
    }
  }
  running_ = false;
  if (!transfers_.empty()) {
    timer_ = loop_.runAfter(wait, [this] {
      timer_ = 0;
      run();
    });
  }
}

}  // namespace shedlever
