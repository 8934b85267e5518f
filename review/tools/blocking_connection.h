#pragma once

/// @file
/// Blocking TCP connections that read and write whole HTTP messages, for the stand-ins of the review.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>
#include <string>

#include "shedlever/identifiers.h"

namespace shedlever::review {

/// A connection that reads and writes whole messages. Closes its socket.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {}
  ~Connection() { close(socket_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// @return the bytes up to and with the end of the headers; nothing once the connection has ended.
  std::optional<std::string> readHead() {
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!readMore()) {
        return std::nullopt;
      }
    }
    return take(end + 4);
  }

  std::optional<std::string> readBody(std::size_t size) {
    while (buffer_.size() < size) {
      if (!readMore()) {
        return std::nullopt;
      }
    }
    return take(size);
  }

  bool write(const std::string& bytes) const {
    return send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
  }

  /// Makes the end of the connection a reset.
  void resetAtEnd() const {
    const linger at_once{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  }

 private:
  bool readMore() {
    std::array<char, 4096> chunk{};
    const ssize_t count = recv(socket_, chunk.data(), chunk.size(), 0);
    if (count <= 0) {
      return false;
    }
    buffer_.append(chunk.data(), static_cast<std::size_t>(count));
    return true;
  }

  std::string take(std::size_t size) {
    std::string taken = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return taken;
  }

  int socket_;
  std::string buffer_;
};

/// @return the value of a header in the head of a message, in which names may have any case; empty without one.
inline std::string headerOf(const std::string& head, const std::string& name) {
  const auto same = [](unsigned char left, unsigned char right) { return std::tolower(left) == std::tolower(right); };
  for (std::size_t at = head.find("\r\n") + 2; at + 2 < head.size();) {
    const std::size_t end = head.find("\r\n", at);
    const std::size_t colon = head.find(':', at);
    const std::string found = head.substr(at, colon - at);
    if (std::equal(found.begin(), found.end(), name.begin(), name.end(), same)) {
      const std::size_t value = head.find_first_not_of(' ', colon + 1);
      return head.substr(value, end - value);
    }
    at = end + 2;
  }
  return {};
}

/// @return the next message, head and body; nothing once the connection has ended.
inline std::optional<std::string> readMessage(Connection& connection) {
  const std::optional<std::string> head = connection.readHead();
  if (!head) {
    return std::nullopt;
  }
  const std::string length = headerOf(*head, "Content-Length");
  const std::optional<std::string> body = connection.readBody(length.empty() ? 0 : std::stoul(length));
  return body ? std::optional(*head + *body) : std::nullopt;
}

inline sockaddr_in socketAddressOf(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
  return address;
}

/// @return a connected socket; negative if the endpoint can't be reached.
inline int connectTo(const Endpoint& endpoint) {
  const int connected = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = socketAddressOf(endpoint);
  if (connect(connected, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(connected);
    return -1;
  }
  const int on = 1;
  setsockopt(connected, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connected;
}

/// @return a listening socket; negative if the endpoint is in use.
inline int listenAt(const Endpoint& endpoint) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = socketAddressOf(endpoint);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 || listen(listener, 128) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

}  // namespace shedlever::review
