#include "test/support/scripted_server.h"

#include <sys/socket.h>

#include <csignal>
#include <cstdlib>

#include "source/net/event_buffers.h"

namespace shedlever::test {

Endpoint closedEndpoint(EventLoop& loop) {
  const auto listener = TcpListener::open(loop, kAnyLoopbackPort, [](evutil_socket_t, const Endpoint&) {});
  return listener.value()->endpoint();
}

void ScriptedConnection::write(const std::string& bytes) {
  if (stream_) {
    bufferevent_write(stream_.get(), bytes.data(), bytes.size());
  }
}

std::size_t ScriptedConnection::unsentBytes() const {
  return stream_ ? evbuffer_get_length(bufferevent_get_output(stream_.get())) : 0;
}

void ScriptedConnection::closeAfterWriting() {
  if (!stream_) {
    return;
  }
  // A small response fits into the socket's buffer, so it can be written immediately.
  evbuffer* output = bufferevent_get_output(stream_.get());
  evbuffer_unfreeze(output, 1);
  evbuffer_write(output, bufferevent_getfd(stream_.get()));
  // libevent closes the socket only in its next iteration.
  shutdown(bufferevent_getfd(stream_.get()), SHUT_RDWR);
  stream_.reset();
}

void ScriptedConnection::reset() {
  if (!stream_) {
    return;
  }
  const linger reset_on_close{1, 0};
  setsockopt(bufferevent_getfd(stream_.get()), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
  stream_.reset();
}

struct ScriptedServer::Accepted {
  ScriptedServer* server;
  ScriptedConnection connection;
};

ScriptedServer::ScriptedServer(EventLoop& loop, Script script, const Endpoint& listen)
    : loop_(loop), script_(std::move(script)) {
  // The other end may reset a connection while bytes are written to it.
  std::signal(SIGPIPE, SIG_IGN);
  listener_ =
      TcpListener::open(loop, listen, [this](evutil_socket_t socket, const Endpoint&) { accept(socket); }).value();
}

ScriptedServer::~ScriptedServer() = default;

ScriptedConnection& ScriptedServer::connection(std::size_t index) {
  return (*std::next(connections_.begin(), static_cast<std::ptrdiff_t>(index)))->connection;
}

void ScriptedServer::accept(evutil_socket_t socket) {
  BufferEventHandle stream(bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE));
  bufferevent* raw = stream.get();
  connections_.push_back(std::make_unique<Accepted>(Accepted{this, ScriptedConnection(std::move(stream))}));
  const auto on_read = [](bufferevent* source, void* argument) {
    auto* accepted = static_cast<Accepted*>(argument);
    accepted->connection.received += takeAllBytes(bufferevent_get_input(source));
    accepted->server->script_(accepted->connection);
  };
  const auto on_event = [](bufferevent*, short, void* argument) {
    auto* accepted = static_cast<Accepted*>(argument);
    accepted->connection.stream_.reset();
    ++accepted->server->closed_by_peer_;
  };
  bufferevent_setcb(raw, on_read, nullptr, on_event, connections_.back().get());
  bufferevent_enable(raw, EV_READ | EV_WRITE);
}

std::string httpResponseText(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Word\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool isCompleteRequest(const std::string& text) {
  const std::size_t head_end = text.find("\r\n\r\n");
  if (head_end == std::string::npos) {
    return false;
  }
  const std::string field = "Content-Length: ";
  const std::size_t length_at = text.find(field);
  const std::size_t length =
      length_at < head_end ? std::strtoull(text.c_str() + length_at + field.size(), nullptr, 10) : 0;
  return text.size() >= head_end + 4 + length;
}

std::string headerOf(const std::string& request, const std::string& name) {
  const std::string start = "\r\n" + name + ": ";
  const std::size_t at = request.find(start);
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t value = at + start.size();
  return request.substr(value, request.find("\r\n", value) - value);
}

}  // namespace shedlever::test
