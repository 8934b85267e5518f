#include "source/core/settings/endpoint_text.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace shedlever {

namespace {

bool isAddress(int family, const std::string& address) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(family, address.c_str(), bytes.data()) == 1;
}

std::optional<std::uint16_t> parsePort(std::string_view text) {
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return port;
}

}  // namespace

std::optional<Endpoint> parseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view address = text.substr(0, colon);
  const std::optional<std::uint16_t> port = parsePort(text.substr(colon + 1));
  const bool bracketed = address.size() >= 2 && address.front() == '[' && address.back() == ']';
  if (bracketed) {
    address = address.substr(1, address.size() - 2);
  }
  if (!port || !isAddress(bracketed ? AF_INET6 : AF_INET, std::string(address))) {
    return std::nullopt;
  }
  return Endpoint{std::string(address), *port};
}

std::string endpointText(const Endpoint& endpoint) {
  const bool needs_brackets = endpoint.address.find(':') != std::string::npos;
  const std::string address = needs_brackets ? "[" + endpoint.address + "]" : endpoint.address;
  return address + ":" + std::to_string(endpoint.port);
}

bool isWildcard(const Endpoint& endpoint) {
  return endpoint.address.empty() || endpoint.address == "0.0.0.0" || endpoint.address == "::";
}

}  // namespace shedlever
