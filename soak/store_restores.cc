#include "soak/store_restores.h"

#include <utility>

namespace shedlever::soak {

namespace {

/// Ages of copies.
constexpr std::uint64_t kMinBackupAgeMs = 1000;
constexpr std::uint64_t kMaxBackupAgeMs = 6000;
/// How long the store is away.
constexpr std::uint64_t kMinOutageMs = 200;
constexpr std::uint64_t kMaxOutageMs = 1200;
/// Until operators write again what the copy lacks.
constexpr std::uint64_t kMinRewriteDelayMs = 50;
constexpr std::uint64_t kMaxRewriteDelayMs = 600;
/// Until the next copy is kept.
constexpr std::uint64_t kMinBackupIntervalMs = 1000;
constexpr std::uint64_t kMaxBackupIntervalMs = 5000;
/// One copy in so many is gone back to twice.
constexpr std::uint64_t kRepeatedRestoreOdds = 4;

}  // namespace

StoreRestores::StoreRestores(EventLoop& loop, std::uint64_t seed, Callbacks callbacks)
    : loop_(loop), random_(seed), callbacks_(std::move(callbacks)) {}

void StoreRestores::runAfterRandomDelay(std::uint64_t least_ms, std::uint64_t most_ms, std::function<void()> step) {
  const std::chrono::milliseconds delay(least_ms + random_() % (most_ms - least_ms));
  loop_.runAfter(delay, [alive = alive_, step = std::move(step)] {
    if (*alive) {
      step();
    }
  });
}

void StoreRestores::saveBackup() {
  if (stopped_) {
    return;
  }
  callbacks_.set_faults(R"({"keep_copy":true})");
  runAfterRandomDelay(kMinBackupAgeMs, kMaxBackupAgeMs, [this] { startOutage(); });
}

void StoreRestores::startOutage() {
  if (stopped_) {
    return;
  }
  callbacks_.log_fault("store: away");
  callbacks_.set_faults(R"({"mode":"reset"})");
  runAfterRandomDelay(kMinOutageMs, kMaxOutageMs, [this] { restoreBackup(random_() % kRepeatedRestoreOdds == 0); });
}

void StoreRestores::restoreBackup(bool once_more) {
  callbacks_.log_fault("store: back from a copy");
  callbacks_.set_faults(R"({"restore_copy":true})");
  callbacks_.set_faults("{}");
  ++count_;
  if (once_more) {
    runAfterRandomDelay(kMinRewriteDelayMs, kMaxRewriteDelayMs, [this] { restoreBackup(false); });
    return;
  }
  runAfterRandomDelay(kMinRewriteDelayMs, kMaxRewriteDelayMs, [this] {
    callbacks_.rewrite_config();
    runAfterRandomDelay(kMinBackupIntervalMs, kMaxBackupIntervalMs, [this] { saveBackup(); });
  });
}

}  // namespace shedlever::soak
