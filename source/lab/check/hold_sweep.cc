#include "source/lab/check/hold_sweep.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace shedlever::check {

namespace {

std::uint64_t tokenAt(const KeyHold& hold, std::int64_t time) {
  std::uint64_t token = hold.tokens.front().second;
  for (const auto& [from, next] : hold.tokens) {
    token = from <= time ? next : token;
  }
  return token;
}

std::string rangeText(int first, int last) { return std::to_string(first) + "-" + std::to_string(last); }

bool concernsRange(const HoldEvent& event) {
  return event.kind == HoldEvent::Kind::Take || event.kind == HoldEvent::Kind::Release ||
         event.kind == HoldEvent::Kind::Released;
}

}  // namespace

HoldSweep::HoldSweep(std::vector<std::string> names)
    : names_(std::move(names)), running_(names_.size()), begun_(names_.size()), ended_(names_.size(), false) {}

void HoldSweep::makeSegments(const std::vector<HoldEvent>& events) {
  std::set<int> bounds;
  for (const HoldEvent& event : events) {
    if (concernsRange(event)) {
      bounds.insert({event.first, event.last + 1});
    }
  }
  std::optional<int> begin;
  for (const int bound : bounds) {
    if (begin) {
      segment_at_[*begin] = segments_.size();
      segments_.push_back({*begin, bound - 1, {}, {}, {}, {}});
    }
    begin = bound;
  }
}

std::pair<std::size_t, std::size_t> HoldSweep::segmentsOf(const HoldEvent& event) const {
  const auto past_last = segment_at_.find(event.last + 1);
  return {segment_at_.at(event.first), past_last == segment_at_.end() ? segments_.size() : past_last->second};
}

void HoldSweep::run(const std::vector<HoldEvent>& events) {
  makeSegments(events);
  for (const HoldEvent& event : events) {
    if (!ended_[event.instance]) {
      apply(event);
    }
  }
  const std::int64_t observed_until = events.empty() ? 0 : events.back().at;
  for (Segment& segment : segments_) {
    for (KeyHold& hold : segment.open) {
      hold.to = std::min(hold.to, observed_until);
    }
    segment.closed.insert(segment.closed.end(), segment.open.begin(), segment.open.end());
    segment.open.clear();
  }
}

void HoldSweep::apply(const HoldEvent& event) {
  switch (event.kind) {
    case HoldEvent::Kind::Take:
      take(event);
      return;
    case HoldEvent::Kind::Release:
      release(event);
      return;
    case HoldEvent::Kind::Released:
      endWork(event);
      return;
    case HoldEvent::Kind::Begin:
      ++running_[event.instance][event.first];
      begun_[event.instance].emplace_back(event.at, event.first);
      return;
    case HoldEvent::Kind::End: {
      auto& running = running_[event.instance];
      const auto found = running.find(event.first);
      if (found != running.end() && --found->second == 0) {
        running.erase(found);
      }
      return;
    }
    case HoldEvent::Kind::Down:
      end(event);
      return;
  }
}

void HoldSweep::take(const HoldEvent& event) {
  checkToken(event);
  if (!event.until || *event.until <= event.at) {
    return;
  }
  const auto [begin, end] = segmentsOf(event);
  std::set<std::size_t> reported;
  for (std::size_t i = begin; i < end; ++i) {
    closeExpired(segments_[i], event.at);
    if (extend(event, segments_[i])) {
      checkWork(event, segments_[i], reported);
    }
  }
}

void HoldSweep::closeExpired(Segment& segment, std::int64_t now) {
  std::erase_if(segment.open, [&](const KeyHold& hold) {
    const bool over = hold.to <= now && hold.lease_end <= now;
    if (over) {
      segment.closed.push_back(hold);
    }
    return over;
  });
}

bool HoldSweep::extend(const HoldEvent& event, Segment& segment) {
  const auto held = std::find_if(segment.open.begin(), segment.open.end(), [&](const KeyHold& hold) {
    return hold.instance == event.instance && !hold.released;
  });
  if (held == segment.open.end()) {
    segment.open.push_back({event.instance, event.at, *event.until, *event.until, false, {{event.at, event.token}}});
    return true;
  }
  held->to = *event.until;
  held->lease_end = *event.until;
  if (held->tokens.back().second != event.token) {
    held->tokens.emplace_back(event.at, event.token);
  }
  return false;
}

void HoldSweep::release(const HoldEvent& event) {
  const auto [begin, end] = segmentsOf(event);
  for (std::size_t i = begin; i < end; ++i) {
    for (KeyHold& hold : segments_[i].open) {
      if (hold.instance == event.instance && !hold.released) {
        hold.to = std::min(hold.to, event.at);
        hold.released = true;
      }
    }
  }
}

void HoldSweep::endWork(const HoldEvent& event) {
  const auto [begin, end] = segmentsOf(event);
  for (std::size_t i = begin; i < end; ++i) {
    for (KeyHold& hold : segments_[i].open) {
      if (hold.instance == event.instance && hold.released) {
        hold.lease_end = std::min(hold.lease_end, event.at);
      }
    }
  }
}

void HoldSweep::end(const HoldEvent& event) {
  ended_[event.instance] = true;
  running_[event.instance].clear();
  for (Segment& segment : segments_) {
    for (KeyHold& hold : segment.open) {
      if (hold.instance == event.instance) {
        hold.to = std::min(hold.to, event.at);
        hold.lease_end = std::min(hold.lease_end, event.at);
      }
    }
  }
}

const HoldSweep::TokenOwner& HoldSweep::highestOfOthers(const Segment& segment, std::size_t instance) {
  return segment.highest.token != 0 && segment.highest.instance == instance ? segment.second : segment.highest;
}

void HoldSweep::noteToken(const HoldEvent& event, Segment& segment) {
  const TokenOwner taken{event.token, event.instance};
  if (segment.highest.token != 0 && segment.highest.instance == event.instance) {
    segment.highest.token = std::max(segment.highest.token, event.token);
  } else if (event.token >= segment.highest.token) {
    segment.second = std::exchange(segment.highest, taken);
  } else if (event.token >= segment.second.token) {
    segment.second = taken;
  }
}

void HoldSweep::checkToken(const HoldEvent& event) {
  const auto [begin, end] = segmentsOf(event);
  std::optional<TokenOwner> other;
  int first = event.first;
  int last = event.last;
  for (std::size_t i = begin; i < end; ++i) {
    const TokenOwner& highest = highestOfOthers(segments_[i], event.instance);
    if (highest.token != 0 && event.token <= highest.token) {
      first = other ? first : segments_[i].first;
      last = segments_[i].last;
      other = other ? other : highest;
    }
    noteToken(event, segments_[i]);
  }
  if (other && reported_tokens_.emplace(event.instance, event.token, other->instance, other->token).second) {
    messages_.push_back(names_[event.instance] + " took keys " + rangeText(first, last) + " at " +
                        std::to_string(event.at) + " us with token " + std::to_string(event.token) +
                        ", not above that of another server: " + names_[other->instance] + " had token " +
                        std::to_string(other->token));
  }
}

void HoldSweep::checkWork(const HoldEvent& event, const Segment& segment, std::set<std::size_t>& reported) {
  for (const KeyHold& hold : segment.open) {
    if (hold.instance == event.instance || hold.lease_end <= event.at) {
      continue;
    }
    const auto& running = running_[hold.instance];
    const auto key = running.lower_bound(segment.first);
    const bool is_at_work = key != running.end() && key->first <= segment.last;
    if (is_at_work && reported.insert(hold.instance).second) {
      messages_.push_back("keys " + rangeText(event.first, event.last) + " were given to " + names_[event.instance] +
                          " with token " + std::to_string(event.token) + " at " + std::to_string(event.at) +
                          " us while " + names_[hold.instance] + " was at work on key " + std::to_string(key->first) +
                          " with token " + std::to_string(hold.tokens.back().second) + ", whose hold lasts until " +
                          std::to_string(hold.lease_end) + " us, " + std::to_string(hold.lease_end - event.at) +
                          " us longer");
    }
  }
}

void HoldSweep::addOverlaps(const Segment& segment, std::map<Pair, std::vector<HoldOverlap>>& overlaps) const {
  std::vector<KeyHold> holds = segment.closed;
  std::sort(holds.begin(), holds.end(),
            [](const KeyHold& left, const KeyHold& right) { return left.from < right.from; });
  std::vector<const KeyHold*> active;
  for (const KeyHold& hold : holds) {
    std::erase_if(active, [&](const KeyHold* earlier) { return earlier->to <= hold.from; });
    for (const KeyHold* earlier : active) {
      const std::int64_t to = std::min(earlier->to, hold.to);
      if (earlier->instance == hold.instance || to <= hold.from) {
        continue;
      }
      const bool earlier_is_low = earlier->instance < hold.instance;
      const KeyHold& low = earlier_is_low ? *earlier : hold;
      const KeyHold& high = earlier_is_low ? hold : *earlier;
      overlaps[{low.instance, high.instance}].push_back(
          {segment.first, segment.last, hold.from, to, tokenAt(low, hold.from), tokenAt(high, hold.from)});
    }
    active.push_back(&hold);
  }
}

std::map<HoldSweep::Pair, std::vector<HoldOverlap>> HoldSweep::overlaps() const {
  std::map<Pair, std::vector<HoldOverlap>> overlaps;
  for (const Segment& segment : segments_) {
    addOverlaps(segment, overlaps);
  }
  for (auto& [pair, list] : overlaps) {
    std::stable_sort(list.begin(), list.end(),
                     [](const HoldOverlap& left, const HoldOverlap& right) { return left.from < right.from; });
  }
  return overlaps;
}

}  // namespace shedlever::check
