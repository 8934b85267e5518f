#pragma once

/// @file
/// Reports that router processes exchange about server crashes.

#include <cstdint>
#include <vector>

#include "shedlever/identifiers.h"
#include "shedlever/request_fingerprint.h"
#include "shedlever/time.h"

namespace shedlever {

/// Identifies one crash of a server. Only the router process on the same node observes the crash, once.
struct ServerCrashId {
  InstanceId instance;
  /// Wall-clock time at which that process observed the crash, in microseconds since the Unix epoch. Needed because a
  /// server may restart under the same id.
  std::uint64_t seen_at_us = 0;

  auto operator<=>(const ServerCrashId&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(instance, seen_at_us);
  }
};

/// The end of a server instance that had not announced its shutdown.
struct ServerCrash {
  ServerCrashId id;
  /// Time between the observation and the sending of this frame. An age, unlike a time, is not affected by clock
  /// differences between machines.
  Duration::rep age_us = 0;
  /// All requests that the server may have been processing.
  std::vector<RequestFingerprint> unanswered;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, age_us, unanswered);
  }
};

/// A request that had been running on a crashed server and has since been answered by a server.
struct ServedSuspect {
  RequestFingerprint request;
  /// Wall-clock time at which the answering server's process observed this, in microseconds since the Unix epoch. A
  /// receiver that knows this or a later time ignores the report, so that processes don't forward it to each other
  /// forever; the age alone could not identify a repeated report.
  std::uint64_t seen_at_us = 0;
  /// Time between the answer and the sending of this frame.
  Duration::rep age_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, seen_at_us, age_us);
  }
};

/// Reports of server crashes. Receiving the same report repeatedly has no effect.
struct ServerCrashesFrame {
  std::vector<ServerCrash> crashes;
  std::vector<ServedSuspect> served;

  bool empty() const { return crashes.empty() && served.empty(); }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(crashes, served);
  }
};

/// A quarantined request, which is not sent to servers, as stored in a node record.
struct QuarantinedRequest {
  RequestFingerprint request;
  /// End of the quarantine, in seconds since the Unix epoch.
  std::uint64_t until_s = 0;

  bool operator==(const QuarantinedRequest&) const = default;
};

}  // namespace shedlever
