#pragma once

/// @file
/// Which requests are not sent to servers any more, since servers ended while at work on them.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "shedlever/server_crashes.h"

namespace shedlever {

struct QuarantineConfig {
  /// Ends of servers that prove it of a request that was unanswered at each of them.
  std::uint32_t crash_threshold = 3;
  /// How long such a request is kept from servers after the last of these ends, and how long an end is remembered: a
  /// release that mends the servers takes longer than minutes, and each try may cost a server and all it was doing.
  Duration duration = std::chrono::minutes(30);
};

/// A server that ends tells nobody which of the requests on it was the cause. The same request at three ends, and never
/// answered between, is no chance; two are enough where no other request was at two: requests that were lost beside it
/// are repeated like itself, and may meet it again at the next server. So one request costs the service two or three
/// servers, not each that it is sent to.
///
/// All processes hold the same news, in whatever order they hear it: ends by their id, and of each request the last
/// time that it was answered, which clears it of all ends before.
class CrashQuarantine {
 public:
  explicit CrashQuarantine(const QuarantineConfig& config) : config_(config) {}

  void setConfig(const QuarantineConfig& config) { config_ = config; }

  /// A server beside this process ended.
  /// @return what all others are to be told.
  ServerCrashesFrame onLocalCrash(const ServerCrashId& id, const std::vector<RequestFingerprint>& unanswered,
                                  TimePoint now);

  /// Another process has told this.
  /// @return what is to be passed on to others; empty where nothing is new, or nothing points at one request yet.
  ServerCrashesFrame merge(const ServerCrashesFrame& told, TimePoint now);

  /// A server has run the request and answered it.
  /// @param seen_at_us time of day, in microseconds since 1970.
  /// @return what all others are to be told; empty unless they may be counting ends against it.
  ServerCrashesFrame onServed(const RequestFingerprint& request, std::uint64_t seen_at_us, TimePoint now);

  /// @return what a process should know that has just been reached.
  ServerCrashesFrame summary(TimePoint now) const;

  /// A node's record names the request as quarantined.
  /// @param own_record whether it is the record of this node, which goes on naming it.
  void onQuarantineRecord(const RequestFingerprint& request, TimePoint until, bool own_record, TimePoint now);

  /// @return how much longer the request is kept from servers; none if it may be sent.
  std::optional<Duration> remainingTime(const RequestFingerprint& request, TimePoint now) const;

  /// @return whether any request is quarantined; costs nothing, so that others' fingerprints need not be computed.
  bool isActive() const { return quarantined_count_ > 0; }

  struct Quarantined {
    RequestFingerprint request;
    TimePoint until{};
    /// Ends that count against it, oldest first; none where only a record tells of it.
    std::vector<ServerCrashId> crashes;
    /// This node's record is to name it: it saw one of the ends, or its record has named it before.
    bool in_own_record = false;
  };
  std::vector<Quarantined> quarantined() const;

  /// Forgets what is too old. @return whether a request is free again.
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
    /// Ends at which it was unanswered, in no order; also those before it was served.
    std::vector<ServerCrashId> crashes;
    TimePoint served_at{};
    /// Time of day of the same; 0 before the first.
    std::uint64_t served_at_unix_us = 0;
    /// By the ends; zero where they don't prove it.
    TimePoint proved_until{};
    /// By records; zero where none names it.
    TimePoint recorded_until{};
    bool in_own_record = false;

    /// @return when its quarantine ends; zero where it is in none.
    TimePoint quarantinedUntil() const { return std::max(proved_until, recorded_until); }
    bool isQuarantined() const { return quarantinedUntil() != TimePoint{}; }
  };

  bool addCrash(const ServerCrashId& id, Crash crash);
  void dropCrash(Crashes::iterator crash);
  /// @return whether it was news.
  bool recordServed(const ServedSuspect& served, TimePoint now);
  static ServedSuspect servedOf(const RequestFingerprint& request, const Suspect& suspect, TimePoint now);
  /// @return ends that count against it: since it was served last.
  std::size_t countedCrashes(const Suspect& suspect) const;
  std::size_t countedCrashes(const RequestFingerprint& request) const;
  /// @return ends that counted against it at that time.
  std::size_t countedCrashesAt(const RequestFingerprint& request, TimePoint time) const;
  /// @return whether that end proves it of the request, with the ends before.
  bool implicates(const Crash& crash, const RequestFingerprint& request) const;
  /// What is judged depends on the ends and on what was served alone, not on the order of the news.
  void reevaluate(const RequestFingerprint& request, Suspect& suspect);
  /// Judges anew what a change to the request's ends can bear on: all that were unanswered at one of them.
  void reevaluateAffected(const RequestFingerprint& request);
  /// @return all ends at which the request was unanswered.
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
