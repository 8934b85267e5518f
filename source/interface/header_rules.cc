#include "source/interface/header_rules.h"

#include <algorithm>
#include <array>
#include <cstddef>

#include "source/core/ascii_case.h"

namespace shedlever {

namespace {

constexpr std::string_view kProductPrefix = "shedlever-";
constexpr std::string_view kConnection = "connection";

/// Of one connection only. Bodies are passed on whole, so the next hop writes its own length.
constexpr std::array<std::string_view, 11> kHopByHop = {
    kConnection, "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te",
    "trailer",   "upgrade",    "transfer-encoding",  "content-length",      "expect",
};

/// Meant for the router alone.
constexpr std::array<std::string_view, 2> kRequestOnly = {"authorization", "host"};

/// One bit for each length that occurs: most headers are told apart by their length alone.
template <std::size_t kSize>
constexpr std::uint64_t lengthsOf(const std::array<std::string_view, kSize>& names) {
  std::uint64_t lengths = 0;
  for (const std::string_view name : names) {
    lengths |= std::uint64_t{1} << name.size();
  }
  return lengths;
}

constexpr std::uint64_t kHopByHopLengths = lengthsOf(kHopByHop);
constexpr std::uint64_t kRequestOnlyLengths = lengthsOf(kRequestOnly);

template <std::size_t kSize>
bool isAmong(const std::array<std::string_view, kSize>& names, std::uint64_t lengths, std::string_view name) {
  constexpr std::size_t kLengths = 64;
  if (name.size() >= kLengths || (lengths >> name.size() & 1U) == 0) {
    return false;
  }
  return std::any_of(names.begin(), names.end(),
                     [name](std::string_view candidate) { return equalsIgnoringCase(candidate, name); });
}

bool isOfProduct(std::string_view name) {
  return name.size() >= kProductPrefix.size() &&
         equalsIgnoringCase(name.substr(0, kProductPrefix.size()), kProductPrefix);
}

std::string_view trimmed(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

void appendListed(std::string_view list, std::vector<std::string>& names) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    const std::string_view name = trimmed(list.substr(0, comma));
    if (!name.empty()) {
      names.emplace_back(name);
    }
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
}

/// Headers that `Connection` declares to be of this hop.
std::vector<std::string> namedByConnection(const std::vector<HttpHeader>& headers) {
  std::vector<std::string> names;
  for (const HttpHeader& header : headers) {
    if (equalsIgnoringCase(header.name, kConnection)) {
      appendListed(header.value, names);
    }
  }
  return names;
}

template <class Drops>
void dropHeaders(std::vector<HttpHeader>& headers, Drops drops) {
  const std::vector<std::string> named = namedByConnection(headers);
  std::erase_if(headers, [&](const HttpHeader& header) {
    if (isAmong(kHopByHop, kHopByHopLengths, header.name) || drops(header.name)) {
      return true;
    }
    return std::any_of(named.begin(), named.end(),
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

void keepRequestHeaders(std::vector<HttpHeader>& headers) {
  dropHeaders(headers, [](std::string_view name) {
    return isAmong(kRequestOnly, kRequestOnlyLengths, name) || isOfProduct(name);
  });
}

void keepResponseHeaders(std::vector<HttpHeader>& headers) { dropHeaders(headers, isOfProduct); }

}  // namespace shedlever
