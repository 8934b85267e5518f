#pragma once

/// @file
/// A small blocking HTTP/1.1 client and server for the stand-ins of the review's scripts. One thread serves one
/// connection. Everything listens on 127.0.0.1.

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Milliseconds = std::chrono::milliseconds;

/// Header names are in lower case.
using Headers = std::map<std::string, std::string>;

struct HttpMessage {
  /// Request line or status line, without the line break.
  std::string first_line;
  Headers headers;
  std::string body;

  std::string header(const std::string& name) const;
  /// @return the second word of the first line: the target of a request, the status of a response.
  std::string secondWord() const;
  /// @return the first word of the first line: the method of a request.
  std::string firstWord() const;
  /// @return the status of a response; 0 if the first line is no status line.
  int status() const;
};

/// A connected socket, closed with the object.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// @return nothing if nobody listens there.
  static std::unique_ptr<Connection> open(int port);
  void setReadTimeout(Milliseconds timeout) const;
  bool write(const std::string& bytes) const;
  /// @return nothing at the end of the connection, after the timeout, or if what came is no HTTP message.
  std::optional<HttpMessage> readMessage();
  /// Ends both directions; a thread that reads from the socket returns.
  void shutDown() const;

 private:
  bool readMore();

  int socket_;
  std::string input_;
};

/// @return a response with a body of the given length.
std::string formatResponse(int status, const Headers& headers, const std::string& body);

/// @return a request to be written to a connection.
std::string formatRequest(const std::string& method, const std::string& target, const Headers& headers,
                          const std::string& body);

/// Sends one request on a connection of its own. @return nothing if no response came in time.
std::optional<HttpMessage> call(int port, const std::string& request, Milliseconds timeout);

/// @return a port of 127.0.0.1 that nobody listened on a moment ago.
int freePort();

class HttpStandin {
 public:
  /// @return the bytes to be written; nothing: no response is written and the connection stays open.
  using Handler = std::function<std::optional<std::string>(const HttpMessage& request)>;

  HttpStandin(int port, Handler handler);
  ~HttpStandin();
  HttpStandin(const HttpStandin&) = delete;
  HttpStandin& operator=(const HttpStandin&) = delete;

  int port() const { return port_; }
  /// The connections that are open now say nothing more, in either direction. New ones work.
  void silenceOpenConnections();
  /// While stalled, no connection is accepted and the queue of new ones is full, so that their opening packets are
  /// dropped. Open connections go on.
  void setStalled(bool stalled);

 private:
  struct Peer {
    explicit Peer(int socket) : connection(socket) {}
    Connection connection;
    std::atomic<bool> silent = false;
  };
  void acceptConnections();
  void serve(const std::shared_ptr<Peer>& peer);

  int port_;
  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> stalled_ = false;
  /// Fill the queue of new connections while stalled.
  std::vector<int> fillers_;
  std::mutex mutex_;
  std::vector<std::shared_ptr<Peer>> peers_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace review
