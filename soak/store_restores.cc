#include "soak/store_restores.h"

#include <utility>

namespace shedlever::soak {

namespace {

constexpr std::uint64_t kMinBackupAgeMs = 1000;
constexpr std::uint64_t kMaxBackupAgeMs = 6000;
constexpr std::uint64_t kMinOutageMs = 200;
constexpr std::uint64_t kMaxOutageMs = 1200;
/// Delay until operators rewrite the configuration that the backup may lack.
constexpr std::uint64_t kMinRewriteDelayMs = 50;
constexpr std::uint64_t kMaxRewriteDelayMs = 600;
constexpr std::uint64_t kMinBackupIntervalMs = 1000;
constexpr std::uint64_t kMaxBackupIntervalMs = 5000;
/// One in this many backups is restored twice.
constexpr std::uint64_t kRepeatedRestoreOdds = 4;

}  // namespace

StoreRestores::StoreRestores(EventLoop& loop, std::uint64_t seed, Callbacks callbacks)
    : loop_(loop), random_(seed), callbacks_(std::move(callbacks)) {}

void StoreRestores::runAfterRandomDelay(std::uint64_t min_ms, std::uint64_t max_ms, std::function<void()> step) {
  const std::chrono::milliseconds delay(min_ms + random_() % (max_ms - min_ms));
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
  callbacks_.log_fault("store: outage");
  callbacks_.set_faults(R"({"mode":"reset"})");
  runAfterRandomDelay(kMinOutageMs, kMaxOutageMs, [this] { restoreBackup(random_() % kRepeatedRestoreOdds == 0); });
}

void StoreRestores::restoreBackup(bool restore_twice) {
  callbacks_.log_fault("store: restored from backup");
  callbacks_.set_faults(R"({"restore_copy":true})");
  callbacks_.set_faults("{}");
  ++count_;
  if (restore_twice) {
    runAfterRandomDelay(kMinRewriteDelayMs, kMaxRewriteDelayMs, [this] { restoreBackup(false); });
    return;
  }
  runAfterRandomDelay(kMinRewriteDelayMs, kMaxRewriteDelayMs, [this] {
    callbacks_.rewrite_config();
    runAfterRandomDelay(kMinBackupIntervalMs, kMaxBackupIntervalMs, [this] { saveBackup(); });
  });
}

}  // namespace shedlever::soak
