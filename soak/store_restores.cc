#include "soak/store_restores.h"

#include <utility>

namespace shedlever::soak {

namespace {

/// Ages of copies.
constexpr std::uint64_t kLeastAgeMs = 1000;
constexpr std::uint64_t kMostAgeMs = 6000;
/// How long the store is away.
constexpr std::uint64_t kLeastAwayMs = 200;
constexpr std::uint64_t kMostAwayMs = 1200;
/// Until operators write again what the copy lacks.
constexpr std::uint64_t kLeastWrittenMs = 50;
constexpr std::uint64_t kMostWrittenMs = 600;
/// Until the next copy is kept.
constexpr std::uint64_t kLeastPauseMs = 1000;
constexpr std::uint64_t kMostPauseMs = 5000;
/// One copy in so many is gone back to twice.
constexpr std::uint64_t kOneTwiceIn = 4;

}  // namespace

StoreRestores::StoreRestores(EventLoop& loop, std::uint64_t seed, Ports ports)
    : loop_(loop), random_(seed), ports_(std::move(ports)) {}

void StoreRestores::after(std::uint64_t least_ms, std::uint64_t most_ms, std::function<void()> step) {
  const std::chrono::milliseconds delay(least_ms + random_() % (most_ms - least_ms));
  loop_.runAfter(delay, [alive = alive_, step = std::move(step)] {
    if (*alive) {
      step();
    }
  });
}

void StoreRestores::keepCopy() {
  if (stopped_) {
    return;
  }
  ports_.set_faults(R"({"keep_copy":true})");
  after(kLeastAgeMs, kMostAgeMs, [this] { goAway(); });
}

void StoreRestores::goAway() {
  if (stopped_) {
    return;
  }
  ports_.note("store: away");
  ports_.set_faults(R"({"mode":"reset"})");
  after(kLeastAwayMs, kMostAwayMs, [this] { comeBack(random_() % kOneTwiceIn == 0); });
}

void StoreRestores::comeBack(bool once_more) {
  ports_.note("store: back from a copy");
  ports_.set_faults(R"({"restore_copy":true})");
  ports_.set_faults("{}");
  ++count_;
  if (once_more) {
    after(kLeastWrittenMs, kMostWrittenMs, [this] { comeBack(false); });
    return;
  }
  after(kLeastWrittenMs, kMostWrittenMs, [this] {
    ports_.write_again();
    after(kLeastPauseMs, kMostPauseMs, [this] { keepCopy(); });
  });
}

}  // namespace shedlever::soak
