#include "standins/standin_process.h"

#include <csignal>
#include <iostream>
#include <limits>

namespace shedlever::standins {

std::optional<Endpoint> parseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  const std::string digits = text.substr(colon + 1);
  if (digits.empty() || digits.size() > 5 || digits.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  const int port = std::stoi(digits);
  if (port > std::numeric_limits<std::uint16_t>::max()) {
    return std::nullopt;
  }
  return Endpoint{text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

void runUntilSignalled(EventLoop& loop, const Endpoint& listening) {
  std::signal(SIGPIPE, SIG_IGN);
  loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
  loop.onSignal(SIGINT, [&loop] { loop.stop(); });
  std::cout << "listening port=" << listening.port << std::endl;
  loop.run();
}

}  // namespace shedlever::standins
