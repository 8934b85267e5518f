#pragma once

/// @file
/// Which relay a process follows, and how new what that tells is.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "shedlever/identifiers.h"
#include "shedlever/time.h"

namespace shedlever {

/// A question to be sent to a relay, from which on it tells all changes.
struct RelayQuestion {
  NodeName relay;
  std::uint64_t number = 0;
};

/// Follows the best relay that tells anything. One that is silent, or whose news are old, costs a step to the next one,
/// and never a promise: the follower counts how old what it knows is from when its question was sent.
class RelayFollower {
 public:
  /// @param relays whom to follow, the best first. @param others whom to follow only while what is known here is old.
  /// @param staleness of what is known here.
  /// @return a question that is due. To be called every 50 ms or so.
  std::optional<RelayQuestion> tick(const std::vector<NodeName>& relays, const std::vector<NodeName>& others,
                                    Duration staleness, TimePoint now);

  /// A relay has told news.
  /// @param question that it had read last, that long before it told them.
  /// @return the time before which it did not tell them, however long they were on their way; none if that can't be
  ///   said, as the question was not this process's last one to this relay.
  std::optional<TimePoint> onNews(const NodeName& relay, std::uint64_t question, Duration since_question,
                                  TimePoint now);

  /// @return whom this process follows; empty while it follows nobody.
  const NodeName& relay() const { return relay_; }

 private:
  enum class Fault : std::uint8_t { Stale, Silent };

  struct PassedOver {
    Fault fault = Fault::Stale;
    TimePoint until{};
  };

  /// Leaves the relay alone for a while if it is of no use.
  void judge(Duration staleness, TimePoint now);
  NodeName best(const std::vector<NodeName>& relays, const std::vector<NodeName>& others, Duration staleness,
                TimePoint now) const;
  bool isPassedOver(const NodeName& relay, TimePoint now) const;
  RelayQuestion ask(TimePoint now);

  NodeName relay_;
  std::uint64_t last_question_ = 0;
  TimePoint asked_at_{};
  /// The first question to this relay.
  TimePoint followed_since_{};
  /// When it told something last; zero: not yet.
  TimePoint heard_at_{};
  std::map<NodeName, PassedOver> passed_over_;
};

}  // namespace shedlever
