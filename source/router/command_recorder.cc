#include "source/router/command_recorder.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "source/core/router/duration_format.h"

namespace shedlever {

namespace {

/// A server on the same machine answers a grant much faster.
constexpr Duration kSlowGrant = std::chrono::milliseconds(100);

/// Why a grant is logged. If several apply, the first one is named.
enum class GrantFinding : std::uint8_t {
  Failed,        ///< not carried out, or no answer
  PastLease,     ///< the server may hold the range for longer than the lease lasts
  CutShort,      ///< shorter than usual, because the lease ends soon
  Slow,          ///< answered late
  NewlyHeld,     ///< the server did not hold the range before
  PlainRenewal,  ///< not logged
};

const char* toString(GrantFinding finding) {
  switch (finding) {
    case GrantFinding::Failed:
      return "failed";
    case GrantFinding::PastLease:
      return "past-lease";
    case GrantFinding::CutShort:
      return "cut-short";
    case GrantFinding::Slow:
      return "slow";
    case GrantFinding::NewlyHeld:
      return "newly-held";
    case GrantFinding::PlainRenewal:
      break;
  }
  return "renewal";
}

GrantFinding findingOf(const GrantBasis& basis, CommandStatus status, Duration took, Duration past_lease) {
  if (status != CommandStatus::Done) {
    return GrantFinding::Failed;
  }
  if (past_lease > Duration::zero()) {
    return GrantFinding::PastLease;
  }
  if (basis.limited_by_lease) {
    return GrantFinding::CutShort;
  }
  if (took > kSlowGrant) {
    return GrantFinding::Slow;
  }
  return basis.renewal ? GrantFinding::PlainRenewal : GrantFinding::NewlyHeld;
}

std::string describeKeys(Key first, Key last) { return std::to_string(first) + "-" + std::to_string(last); }

}  // namespace

void CommandRecorder::grant(const GrantCommand& command, std::function<void(CommandStatus)> done) {
  server_.grant(command, [this, command, sent = clock_.now(), done = std::move(done)](CommandStatus status) {
    recordGrant(command, sent, status);
    done(status);
  });
}

void CommandRecorder::release(const ReleaseCommand& command, std::function<void(ReleaseResult)> done) {
  server_.release(command, [this, command, sent = clock_.now(), done = std::move(done)](const ReleaseResult& result) {
    recordRelease(command, sent, result.status);
    done(result);
  });
}

void CommandRecorder::recordGrant(const GrantCommand& command, TimePoint sent, CommandStatus status) {
  const TimePoint now = clock_.now();
  const GrantBasis& basis = command.basis;
  // The grant counts from its arrival at the server, which is not later than the answer.
  const Duration past_lease = std::max(Duration::zero(), now + command.hold_duration - basis.lease_until);
  const GrantFinding finding = findingOf(basis, status, now - sent, past_lease);
  metrics_.onGrant(status, now - sent);
  if (finding == GrantFinding::PastLease) {
    metrics_.onEvent("grant-past-lease");
  }
  if (finding == GrantFinding::PlainRenewal || !log_.mayWriteCommand()) {
    return;
  }
  log_.write("ownership", "grant",
             {{"cause", toString(finding)},
              {"keys", describeKeys(command.first, command.last)},
              {"token", std::to_string(command.token)},
              {"status", toString(status)},
              {"hold_ms", formatMilliseconds(command.hold_duration)},
              {"lease_left_ms", formatMilliseconds(basis.lease_until - sent)},
              {"decided_before_ms", formatMilliseconds(sent - basis.decided_at)},
              {"answered_after_ms", formatMilliseconds(now - sent)},
              {"past_lease_ms", formatMilliseconds(past_lease)}});
}

void CommandRecorder::recordRelease(const ReleaseCommand& command, TimePoint sent, CommandStatus status) {
  metrics_.onRelease(status);
  if (!log_.mayWriteCommand()) {
    return;
  }
  log_.write("ownership", "release",
             {{"keys", describeKeys(command.first, command.last)},
              {"token", std::to_string(command.token)},
              {"status", toString(status)},
              {"answered_after_ms", formatMilliseconds(clock_.now() - sent)}});
}

}  // namespace shedlever
