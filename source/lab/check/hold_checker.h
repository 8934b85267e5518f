#pragma once

/// @file
/// Checks from servers' logs that no two servers hold a key at once, and that tokens rise with each change of owner.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace shedlever::check {

/// What a server's log states about keys. All times are microseconds of one clock.
struct HoldEvent {
  /// The order is that in which events of the same time are applied: what ends precedes what begins.
  enum class Kind { Down, Release, Released, End, Take, Begin };

  std::int64_t at = 0;
  Kind kind = Kind::Take;
  /// Index of the instance.
  std::size_t instance = 0;
  int first = 0;
  int last = 0;
  std::uint64_t token = 0;
  /// For `Take`: when the hold ends, by the server's clock; nothing in logs that do not state it.
  std::optional<std::int64_t> until;
};

/// The time in which one instance held the keys of one segment without a break.
struct KeyHold {
  std::size_t instance = 0;
  std::int64_t from = 0;
  std::int64_t to = 0;
  /// End of the hold as last granted, which a release does not change until the work on the keys has ended.
  std::int64_t lease_end = 0;
  bool released = false;
  /// The tokens of the hold and the times from which they apply.
  std::vector<std::pair<std::int64_t, std::uint64_t>> tokens;
};

/// Judges the three sentences of the rule OWNER. Reads lines of the form "microseconds instance event ...":
///   - "up ID PID": the instance of this process starts;
///   - "take FIRST LAST TOKEN [UNTIL]": the server got or renewed the keys, from now until UNTIL; "late-take" does not
///     count, because it was carried out late;
///   - "release FIRST LAST TOKEN": the server begins no more requests on the keys; "released": those have ended;
///   - "begin ID KEY TOKEN" and "end ID KEY": work on a request; "down": the end of the instance.
/// Two names stand in place of an instance and concern the log's instances: "server killed PID" is the end of that
/// process, "router resumed" and "server resumed" say that a paused process runs again. Grants that arrive within
/// 300 ms after that do not count.
class HoldChecker {
 public:
  /// @param log number of the log; all instances of a log were started at the same node.
  void addLine(std::size_t log, const std::string& line);

  /// @return one message for each violation, with key range, both instances, times, tokens and length: two servers held
  ///   keys at the same time and both began requests on them; two servers held the same keys for over 0.5 s; a server
  ///   was given a key on which another was at work whose hold had not run out; a server took a key with a token that
  ///   is not above all with which other instances had it.
  std::vector<std::string> violations() const;

 private:
  struct Instance {
    std::string name;
    std::size_t log = 0;
  };
  struct Start {
    std::int64_t at = 0;
    std::size_t instance = 0;
  };
  struct Kill {
    std::int64_t at = 0;
    std::size_t log = 0;
    int pid = 0;
  };

  /// @return the index of the instance with this name, which is new if no line named it before.
  std::size_t indexOf(std::size_t log, const std::string& name);
  /// @return the events to judge in their order, without grants that do not count.
  std::vector<HoldEvent> orderedEvents() const;
  bool arrivedAfterPause(const HoldEvent& event) const;
  std::optional<std::size_t> instanceOf(const Kill& kill) const;
  std::vector<std::string> names() const;

  std::vector<Instance> instances_;
  std::map<std::string, std::size_t> index_;
  std::vector<HoldEvent> events_;
  /// Starts by log and process id.
  std::map<std::pair<std::size_t, int>, std::vector<Start>> starts_;
  std::vector<Kill> kills_;
  /// When a paused process of the log's node was resumed.
  std::map<std::size_t, std::vector<std::int64_t>> resumes_;
};

}  // namespace shedlever::check
