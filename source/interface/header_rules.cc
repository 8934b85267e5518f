#include "source/interface/header_rules.h"

#include <algorithm>
#include <array>
#include <cstddef>

#include "source/core/ascii_case.h"

namespace shedlever {

namespace {

constexpr std::string_view kProductPrefix = "shedlever-";
constexpr std::string_view kConnection = "connection";

/// Headers of one connection only. Bodies are forwarded complete, so each hop sets its own `Content-Length`.
constexpr std::array<std::string_view, 11> kHopByHopHeaders = {
    kConnection, "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te",
    "trailer",   "upgrade",    "transfer-encoding",  "content-length",      "expect",
};

/// Request headers that are meant for the router only.
constexpr std::array<std::string_view, 2> kRouterOnlyHeaders = {"authorization", "host"};

/// @return one bit per length of a name, to exclude most headers without comparing text. Names have less than 64 bytes.
template <std::size_t kSize>
constexpr std::uint64_t lengthMask(const std::array<std::string_view, kSize>& names) {
  std::uint64_t mask = 0;
  for (const std::string_view name : names) {
    mask |= std::uint64_t{1} << name.size();
  }
  return mask;
}

constexpr std::uint64_t kHopByHopLengthMask = lengthMask(kHopByHopHeaders);
constexpr std::uint64_t kRouterOnlyLengthMask = lengthMask(kRouterOnlyHeaders);

template <std::size_t kSize>
bool containsName(const std::array<std::string_view, kSize>& names, std::uint64_t mask, std::string_view name) {
  constexpr std::size_t kMaskBits = 64;
  if (name.size() >= kMaskBits || (mask >> name.size() & 1U) == 0) {
    return false;
  }
  return std::any_of(names.begin(), names.end(),
                     [name](std::string_view candidate) { return equalsIgnoringCase(candidate, name); });
}

bool hasProductPrefix(std::string_view name) {
  return name.size() >= kProductPrefix.size() &&
         equalsIgnoringCase(name.substr(0, kProductPrefix.size()), kProductPrefix);
}

std::string_view trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

void appendListItems(std::string_view list, std::vector<std::string>& names) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    const std::string_view name = trim(list.substr(0, comma));
    if (!name.empty()) {
      names.emplace_back(name);
    }
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
}

/// @return the headers that `Connection` declares to be hop-by-hop.
std::vector<std::string> connectionHeaderNames(const std::vector<HttpHeader>& headers) {
  std::vector<std::string> names;
  for (const HttpHeader& header : headers) {
    if (equalsIgnoringCase(header.name, kConnection)) {
      appendListItems(header.value, names);
    }
  }
  return names;
}

template <class Predicate>
void removeHeaders(std::vector<HttpHeader>& headers, Predicate should_remove) {
  const std::vector<std::string> connection_names = connectionHeaderNames(headers);
  std::erase_if(headers, [&](const HttpHeader& header) {
    if (containsName(kHopByHopHeaders, kHopByHopLengthMask, header.name) || should_remove(header.name)) {
      return true;
    }
    return std::any_of(connection_names.begin(), connection_names.end(),
                       [&](const std::string& name) { return equalsIgnoringCase(name, header.name); });
  });
}

}  // namespace

HeaderLookup lookUpHeader(const std::vector<HttpHeader>& headers, std::string_view name) {
  HeaderLookup lookup;
  for (const HttpHeader& header : headers) {
    if (!equalsIgnoringCase(header.name, name)) {
      continue;
    }
    if (lookup.count == 0) {
      lookup.value = header.value;
    }
    ++lookup.count;
  }
  return lookup;
}

void filterRequestHeaders(std::vector<HttpHeader>& headers) {
  removeHeaders(headers, [](std::string_view name) {
    return containsName(kRouterOnlyHeaders, kRouterOnlyLengthMask, name) || hasProductPrefix(name);
  });
}

void filterResponseHeaders(std::vector<HttpHeader>& headers) { removeHeaders(headers, hasProductPrefix); }

}  // namespace shedlever
