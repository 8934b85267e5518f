#pragma once

/// @file
/// What processes tell each other of servers that ended while they were at work.

#include <cstdint>
#include <vector>

#include "shedlever/identifiers.h"
#include "shedlever/request_fingerprint.h"
#include "shedlever/time.h"

namespace shedlever {

/// Names one end of a server. The process beside it alone sees the end, once.
struct ServerCrashId {
  InstanceId instance;
  /// Time of day at which that process saw it, in microseconds since 1970: a server may start again under its id.
  std::uint64_t seen_at_us = 0;

  auto operator<=>(const ServerCrashId&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(instance, seen_at_us);
  }
};

/// A server ended that had not said that it leaves.
struct ServerCrash {
  ServerCrashId id;
  /// How long ago it was seen, when this is told: clocks of machines differ, ages hardly do.
  Duration::rep age_us = 0;
  /// Each request that it may have been at work on.
  std::vector<RequestFingerprint> unanswered;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, age_us, unanswered);
  }
};

/// A request that ran on a server which had ended has since been answered by one.
struct ServedSuspect {
  RequestFingerprint request;
  /// Time of day at which the process beside that server saw it, in microseconds since 1970. Who knows one as late
  /// learns nothing: the age alone would make the same news newer with each process that passes it on, for ever.
  std::uint64_t seen_at_us = 0;
  /// How long ago it was answered, when this is told.
  Duration::rep age_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, seen_at_us, age_us);
  }
};

/// News of server ends. Who hears one twice learns nothing from the second.
struct ServerCrashesFrame {
  std::vector<ServerCrash> crashes;
  std::vector<ServedSuspect> served;

  bool empty() const { return crashes.empty() && served.empty(); }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(crashes, served);
  }
};

/// A request that is not sent to servers, as a node's record keeps it.
struct QuarantinedRequest {
  RequestFingerprint request;
  /// Time of day at which that ends, in seconds since 1970.
  std::uint64_t until_s = 0;

  bool operator==(const QuarantinedRequest&) const = default;
};

}  // namespace shedlever
