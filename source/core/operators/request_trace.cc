#include "source/core/operators/request_trace.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace shedlever {

namespace {

/// Other lines are included from this long before the request's first line until this long after its last.
constexpr std::int64_t kContextBeforeMs = 5000;
constexpr std::int64_t kContextAfterMs = 200;
constexpr std::string_view kGatewayComponent = "gateway";
constexpr std::string_view kGateComponent = "gate";
constexpr std::string_view kPeerComponent = "peer";
constexpr std::string_view kMembershipComponent = "membership";

struct ReasonText {
  std::string_view reason;
  std::string_view text;
};

constexpr std::array<ReasonText, 20> kReasonTexts = {
    {{"none", "the server's response was passed on"},
     {"overloaded", "the server's queue was too long, or the wait limit was reached; not run"},
     {"queue-full", "the tenant's queue was full; not run"},
     {"wrong-instance", "another instance of the server was running; not run"},
     {"not-owner", "the key was owned by another server; not run"},
     {"not-yet-owner", "the key was being transferred; not run"},
     {"draining", "the server was draining; not run"},
     {"server-refused", "the server reported that it did not run the request"},
     {"server-down", "the server or its node was unreachable; not run"},
     {"connection-lost", "the connection broke after the request was sent; it is unknown whether it ran"},
     {"broken-answer", "the server's response was truncated or belonged to another request; the request may have run"},
     {"timed-out", "the deadline passed before a response arrived"},
     {"cancelled", "the client disconnected"},
     {"no-instance", "no server of the service was known; not run"},
     {"unknown-service", "no route of the active configuration matches the request"},
     {"server-unavailable", "this process had no configuration yet; not run"},
     {"shutting-down", "this process was shutting down; not run"},
     {"quarantined", "servers crashed while running the same request; not run"},
     {"unauthenticated", "the credential does not belong to a tenant"},
     {"bad-request", "the request was malformed"}}};

std::string reasonText(const LogLine& line) {
  const std::string reason = line.field("reason");
  const auto found = std::find_if(kReasonTexts.begin(), kReasonTexts.end(),
                                  [&reason](const ReasonText& entry) { return entry.reason == reason; });
  return std::string(found == kReasonTexts.end() ? "the reason is missing or unknown" : found->text);
}

std::string describeAttempt(const LogLine& line) {
  return "returned from " + line.field("node") + " after " + line.field("held_ms") + " ms: " + reasonText(line) +
         "; next: " + line.field("next");
}

std::string describeEnd(const LogLine& line) {
  std::string sentence = line.event + " with status " + line.field("status") + " after " + line.field("held_ms") +
                         " ms: " + reasonText(line);
  if (const std::string node = line.field("node"); !node.empty() && node != "-") {
    sentence += "; last attempt at " + node;
  }
  return sentence;
}

std::string describeGateEvent(const LogLine& line) {
  if (line.event == "refused") {
    return "not started here: " + reasonText(line) + "; " + line.field("running") + " of " + line.field("slots") +
           " slots were in use, " + line.field("queued") + " requests were queued";
  }
  return "the server " + line.field("instance") + " returned no complete response in " + line.field("ran_ms") +
         " ms: " + reasonText(line);
}

std::string describeLine(const LogLine& line) {
  if (line.component == kGateComponent) {
    return describeGateEvent(line);
  }
  if (line.event == "attempt-ended") {
    return describeAttempt(line);
  }
  return line.event == "refused-at-once" ? "refused immediately: " + reasonText(line) : describeEnd(line);
}

bool isRequestLine(const LogLine& line) {
  return line.component == kGatewayComponent || line.component == kGateComponent;
}

/// @return whether the line is about one of `nodes`: written by one of them and not about a peer outside the set.
bool concernsNodes(const LogLine& line, const std::set<std::string>& nodes) {
  const bool is_about_peer = line.component == kPeerComponent || line.component == kMembershipComponent;
  const std::string peer = is_about_peer ? line.field("node") : std::string();
  return nodes.contains(line.node) && (peer.empty() || nodes.contains(peer));
}

/// Removes one value, a word or a quoted text, from the front of `rest`.
std::string consumeValue(std::string_view& rest) {
  std::string value;
  if (rest.empty() || rest.front() != '"') {
    const std::size_t end = rest.find(' ');
    value = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end);
    return value;
  }
  rest.remove_prefix(1);
  while (!rest.empty() && rest.front() != '"') {
    if (rest.front() == '\\' && rest.size() > 1) {
      rest.remove_prefix(1);
    }
    value += rest.front();
    rest.remove_prefix(1);
  }
  rest.remove_prefix(std::min<std::size_t>(1, rest.size()));
  return value;
}

}  // namespace

std::string LogLine::field(std::string_view name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : found->second;
}

std::optional<LogLine> parseLogLine(const std::string& node, std::string_view text) {
  const std::size_t colon = text.find(": event=");
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  LogLine line;
  line.node = node;
  // Log collectors may have put text before the component.
  const std::string_view before = text.substr(0, colon);
  line.component = before.substr(before.rfind(' ') == std::string_view::npos ? 0 : before.rfind(' ') + 1);
  std::string_view rest = text.substr(colon + 2);
  while (!rest.empty()) {
    const std::size_t equals = rest.find('=');
    if (equals == std::string_view::npos) {
      break;
    }
    std::string key(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    line.fields[std::move(key)] = consumeValue(rest);
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
  }
  line.event = line.field("event");
  const std::string at = line.field("at_ms");
  std::from_chars(at.data(), at.data() + at.size(), line.at_ms);
  return line;
}

std::vector<TraceStep> traceRequest(const std::vector<LogLine>& lines, const std::string& id) {
  std::vector<TraceStep> steps;
  std::set<std::string> nodes;
  std::int64_t first = 0;
  std::int64_t last = 0;
  for (const LogLine& line : lines) {
    if (!isRequestLine(line) || line.field("id") != id) {
      continue;
    }
    first = steps.empty() ? line.at_ms : std::min(first, line.at_ms);
    last = std::max(last, line.at_ms);
    nodes.insert(line.node);
    nodes.insert(line.field("node"));
    steps.push_back({line, describeLine(line)});
  }
  if (steps.empty()) {
    return steps;
  }
  for (const LogLine& line : lines) {
    const bool near = line.at_ms >= first - kContextBeforeMs && line.at_ms <= last + kContextAfterMs;
    if (!isRequestLine(line) && near && concernsNodes(line, nodes)) {
      steps.push_back({line, {}});
    }
  }
  std::stable_sort(steps.begin(), steps.end(),
                   [](const TraceStep& left, const TraceStep& right) { return left.line.at_ms < right.line.at_ms; });
  return steps;
}

}  // namespace shedlever
