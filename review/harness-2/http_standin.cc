#include "http_standin.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>

namespace review {

namespace {

constexpr int kBacklog = 256;
constexpr int kAcceptPollMs = 10;
constexpr std::size_t kReadBytes = 65536;
constexpr const char* kLineBreak = "\r\n";

sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

std::string lowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string formatMessage(const std::string& first_line, const Headers& headers, const std::string& body) {
  std::string text = first_line + kLineBreak;
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append(kLineBreak);
  }
  text.append("content-length: ").append(std::to_string(body.size())).append(kLineBreak).append(kLineBreak);
  return text.append(body);
}

/// @param head first line and headers, without the empty line.
HttpMessage parseHead(const std::string& head) {
  HttpMessage message;
  std::size_t begin = 0;
  while (begin < head.size()) {
    const std::size_t end = std::min(head.find(kLineBreak, begin), head.size());
    const std::string line = head.substr(begin, end - begin);
    const std::size_t colon = line.find(':');
    if (message.first_line.empty()) {
      message.first_line = line;
    } else if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers[lowerCase(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
    }
    begin = end + 2;
  }
  return message;
}

}  // namespace

std::string HttpMessage::header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

std::string HttpMessage::firstWord() const { return first_line.substr(0, first_line.find(' ')); }

std::string HttpMessage::secondWord() const {
  const std::size_t begin = first_line.find(' ');
  if (begin == std::string::npos) {
    return "";
  }
  return first_line.substr(begin + 1, first_line.find(' ', begin + 1) - begin - 1);
}

int HttpMessage::status() const { return std::atoi(secondWord().c_str()); }

Connection::~Connection() { close(socket_); }

std::unique_ptr<Connection> Connection::open(int port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(socket);
    return nullptr;
  }
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_unique<Connection>(socket);
}

void Connection::setReadTimeout(Milliseconds timeout) const {
  constexpr int kMillisecondsPerSecond = 1000;
  timeval value{};
  value.tv_sec = timeout.count() / kMillisecondsPerSecond;
  value.tv_usec = timeout.count() % kMillisecondsPerSecond * kMillisecondsPerSecond;
  setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
}

bool Connection::write(const std::string& bytes) const {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t size = send(socket_, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(size);
  }
  return true;
}

bool Connection::readMore() {
  std::string buffer(kReadBytes, '\0');
  const ssize_t size = recv(socket_, buffer.data(), buffer.size(), 0);
  if (size <= 0) {
    return false;
  }
  input_.append(buffer, 0, static_cast<std::size_t>(size));
  return true;
}

std::optional<HttpMessage> Connection::readMessage() {
  constexpr const char* kHeadEnd = "\r\n\r\n";
  constexpr std::size_t kHeadEndBytes = 4;
  std::size_t head_end = input_.find(kHeadEnd);
  while (head_end == std::string::npos) {
    if (!readMore()) {
      return std::nullopt;
    }
    head_end = input_.find(kHeadEnd);
  }
  HttpMessage message = parseHead(input_.substr(0, head_end));
  const std::size_t body_bytes = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
  while (input_.size() < head_end + kHeadEndBytes + body_bytes) {
    if (!readMore()) {
      return std::nullopt;
    }
  }
  message.body = input_.substr(head_end + kHeadEndBytes, body_bytes);
  input_.erase(0, head_end + kHeadEndBytes + body_bytes);
  return message;
}

void Connection::shutDown() const { shutdown(socket_, SHUT_RDWR); }

std::string formatResponse(int status, const Headers& headers, const std::string& body) {
  return formatMessage("HTTP/1.1 " + std::to_string(status) + " Status", headers, body);
}

std::string formatRequest(const std::string& method, const std::string& target, const Headers& headers,
                          const std::string& body) {
  return formatMessage(method + " " + target + " HTTP/1.1", headers, body);
}

std::optional<HttpMessage> call(int port, const std::string& request, Milliseconds timeout) {
  const std::unique_ptr<Connection> connection = Connection::open(port);
  if (!connection) {
    return std::nullopt;
  }
  connection->setReadTimeout(timeout);
  return connection->write(request) ? connection->readMessage() : std::nullopt;
}

int freePort() {
  // Below the ports that the kernel gives to connections, so that none of them takes a port in the meantime.
  constexpr int kFirstPort = 20000;
  constexpr int kPorts = 10000;
  constexpr int kPortsPerProcess = 61;
  static std::atomic<int> next = getpid() * kPortsPerProcess;
  for (int tries = 0; tries < kPorts; ++tries) {
    const int port = kFirstPort + next++ % kPorts;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    const bool is_free = bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    close(socket);
    if (is_free) {
      return port;
    }
  }
  return 0;
}

HttpStandin::HttpStandin(int port, Handler handler) : port_(port), handler_(std::move(handler)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = loopback(port);
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener_, kBacklog) != 0) {
    perror("listen");
    constexpr int kCouldNotRun = 2;
    std::exit(kCouldNotRun);
  }
  acceptor_ = std::thread([this] { acceptConnections(); });
}

HttpStandin::~HttpStandin() {
  stopping_ = true;
  for (const int filler : fillers_) {
    close(filler);
  }
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& peer : peers_) {
      peer->connection.shutDown();
    }
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void HttpStandin::silenceOpenConnections() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& peer : peers_) {
    peer->silent = true;
  }
}

void HttpStandin::setStalled(bool stalled) {
  constexpr int kFillers = 4;
  stalled_ = stalled;
  if (stalled) {
    std::this_thread::sleep_for(Milliseconds(kAcceptPollMs) * 2);
    listen(listener_, 0);
    const sockaddr_in address = loopback(port_);
    for (int i = 0; i < kFillers; ++i) {
      fillers_.push_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
      // Ends later, or never: the queue takes only some of these.
      static_cast<void>(connect(fillers_.back(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
    }
    return;
  }
  for (const int filler : fillers_) {
    close(filler);
  }
  fillers_.clear();
  listen(listener_, kBacklog);
}

void HttpStandin::acceptConnections() {
  while (!stopping_) {
    pollfd waiting{listener_, POLLIN, 0};
    if (stalled_ || poll(&waiting, 1, kAcceptPollMs) <= 0 || stalled_) {
      std::this_thread::sleep_for(Milliseconds(stalled_ ? kAcceptPollMs : 0));
      continue;
    }
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard<std::mutex> lock(mutex_);
    peers_.push_back(std::make_shared<Peer>(socket));
    threads_.emplace_back([this, peer = peers_.back()] { serve(peer); });
  }
}

void HttpStandin::serve(const std::shared_ptr<Peer>& peer) {
  while (const std::optional<HttpMessage> request = peer->connection.readMessage()) {
    if (peer->silent) {
      continue;
    }
    const std::optional<std::string> response = handler_(*request);
    if (response && !peer->silent) {
      peer->connection.write(*response);
    }
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  std::erase(peers_, peer);
}

}  // namespace review
