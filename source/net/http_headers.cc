#include "source/net/http_headers.h"

#include <algorithm>
#include <array>

#include "source/core/ascii_case.h"

namespace shedlever {

namespace {

constexpr std::array<std::string_view, 8> kFramingHeaders = {
    "connection", "content-length", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade"};

}  // namespace

bool sameHeaderName(std::string_view left, std::string_view right) { return equalsIgnoringCase(left, right); }

const HttpHeader* findHeader(const std::vector<HttpHeader>& headers, std::string_view name) {
  const auto found = std::find_if(headers.begin(), headers.end(),
                                  [name](const HttpHeader& header) { return sameHeaderName(header.name, name); });
  return found == headers.end() ? nullptr : &*found;
}

std::string_view headerValue(const std::vector<HttpHeader>& headers, std::string_view name) {
  const HttpHeader* header = findHeader(headers, name);
  return header == nullptr ? std::string_view() : std::string_view(header->value);
}

bool isFramingHeader(std::string_view name) {
  return std::any_of(kFramingHeaders.begin(), kFramingHeaders.end(),
                     [name](std::string_view framing) { return sameHeaderName(framing, name); });
}

}  // namespace shedlever
