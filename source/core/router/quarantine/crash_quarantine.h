#pragma once

/// @file
/// Detects requests that crash servers, and quarantines them: they are not sent to servers any more.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "shedlever/server_crashes.h"

namespace shedlever {

struct QuarantineConfig {
  /// Number of crashes after which a request that was unanswered at each of them is quarantined.
  std::uint32_t crash_threshold = 3;
  /// Time that a request stays quarantined after the last of these crashes, and that a crash is remembered. A fix of
  /// the servers takes longer than a few minutes, and each further attempt may crash a server with all its requests.
  Duration duration = std::chrono::minutes(30);
};

/// A crash does not reveal which of the server's requests caused it. A request that was unanswered at three crashes,
/// and not answered in between, is taken as the cause. Two crashes are enough if no other request was unanswered at
/// two: requests that were lost together are retried together and may meet again at the next server. A fatal request
/// thus crashes two or three servers instead of every server that it is sent to.
///
/// Processes exchange crashes by id and, for each request, the last time that it was answered, which clears it of all
/// earlier crashes. The result does not depend on the order of these messages.
class CrashQuarantine {
 public:
  explicit CrashQuarantine(const QuarantineConfig& config) : config_(config) {}

  void setConfig(const QuarantineConfig& config) { config_ = config; }

  /// Records a crash of this process's own server.
  /// @param unanswered requests that may have been running at the time of the crash.
  /// @return what to send to all peers.
  ServerCrashesFrame onLocalCrash(const ServerCrashId& id, const std::vector<RequestFingerprint>& unanswered,
                                  TimePoint now);

  /// Merges a message of a peer.
  /// @return what to forward to the other peers: served requests that they may not know, and all crashes of each
  ///   request that now has at least two.
  ServerCrashesFrame merge(const ServerCrashesFrame& received, TimePoint now);

  /// Records that a server has run the request and answered it.
  /// @param seen_at_us wall-clock time in microseconds since the Unix epoch.
  /// @return what to send to all peers; empty unless they may be counting crashes against the request.
  ServerCrashesFrame onServed(const RequestFingerprint& request, std::uint64_t seen_at_us, TimePoint now);

  /// @return what to send to a newly connected peer.
  ServerCrashesFrame summary(TimePoint now) const;

  /// Handles a node's record that lists the request as quarantined.
  /// @param own_record whether it is this node's own record, which continues to list the request.
  void onQuarantineRecord(const RequestFingerprint& request, TimePoint until, bool own_record, TimePoint now);

  /// @return how much longer the request is quarantined; none if it may be sent.
  std::optional<Duration> remainingTime(const RequestFingerprint& request, TimePoint now) const;

  /// @return whether any request is quarantined. Allows callers to skip the computation of fingerprints.
  bool isActive() const { return quarantined_count_ > 0; }

  struct Quarantined {
    RequestFingerprint request;
    TimePoint until{};
    /// Crashes that count against the request, oldest first; empty if it is known only from a record.
    std::vector<ServerCrashId> crashes;
    /// This node's record must list the request: the node saw one of the crashes, or its record listed it before.
    bool in_own_record = false;
  };
  std::vector<Quarantined> quarantined() const;

  /// Removes expired crashes and quarantines.
  /// @return whether a quarantine has ended.
  bool removeExpired(TimePoint now);

  std::size_t crashCount() const { return crashes_.size(); }

 private:
  struct Crash {
    TimePoint at{};
    std::vector<RequestFingerprint> unanswered;
    bool is_local = false;
  };
  using Crashes = std::map<ServerCrashId, Crash>;

  struct Suspect {
    /// Crashes at which the request was unanswered, unordered; including those before it was last served.
    std::vector<ServerCrashId> crashes;
    TimePoint served_at{};
    /// Wall-clock time of the same event; 0 if the request was never served.
    std::uint64_t served_at_unix_us = 0;
    /// End of the quarantine that follows from crashes; zero if there is none.
    TimePoint proved_until{};
    /// End of the quarantine that follows from records; zero if no record lists the request.
    TimePoint recorded_until{};
    bool in_own_record = false;

    /// @return end of the quarantine; zero if the request is not quarantined.
    TimePoint quarantinedUntil() const { return std::max(proved_until, recorded_until); }
    bool isQuarantined() const { return quarantinedUntil() != TimePoint{}; }
  };

  bool addCrash(const ServerCrashId& id, Crash crash);
  void dropCrash(Crashes::iterator crash);
  /// @return whether the information was new.
  bool recordServed(const ServedSuspect& served, TimePoint now);
  static ServedSuspect servedOf(const RequestFingerprint& request, const Suspect& suspect, TimePoint now);
  /// @return number of crashes that count against the request: those since it was last served.
  std::size_t countedCrashes(const Suspect& suspect) const;
  std::size_t countedCrashes(const RequestFingerprint& request) const;
  /// @return number of crashes up to `time` that count against the request.
  std::size_t countedCrashesAt(const RequestFingerprint& request, TimePoint time) const;
  /// @return whether this crash, together with earlier ones, identifies the request as the cause.
  bool implicates(const Crash& crash, const RequestFingerprint& request) const;
  /// Updates the quarantine of a request. The result depends only on the known crashes and served requests, not on the
  /// order in which they became known.
  void reevaluate(const RequestFingerprint& request, Suspect& suspect);
  /// Updates all requests that a change to this request's crashes can affect: those unanswered at one of them.
  void reevaluateAffected(const RequestFingerprint& request);
  /// Adds all crashes at which the request was unanswered to `found`.
  void collectCrashes(const RequestFingerprint& request, TimePoint now,
                      std::map<ServerCrashId, ServerCrash>& found) const;
  ServerCrash toMessage(const Crashes::value_type& crash, TimePoint now) const;
  void setQuarantineEnd(Suspect& suspect, TimePoint proved, TimePoint recorded);

  QuarantineConfig config_;
  Crashes crashes_;
  std::unordered_map<RequestFingerprint, Suspect> suspects_;
  std::size_t quarantined_count_ = 0;
};

}  // namespace shedlever
