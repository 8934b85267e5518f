#include "test/support/crowd_client.h"

#include <cstdlib>

#include "source/net/event_buffers.h"
#include "source/net/socket_address.h"

namespace shedlever::test {

CrowdClient::CrowdClient(EventLoop& loop, const Endpoint& router, Pieces pieces)
    : pieces_(std::move(pieces)), stream_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
  const auto on_read = [](bufferevent* stream, void* self) {
    static_cast<CrowdClient*>(self)->received_ += takeAllBytes(bufferevent_get_input(stream));
  };
  const auto on_written = [](bufferevent*, void* self) { static_cast<CrowdClient*>(self)->sendNext(); };
  const auto on_event = [](bufferevent*, short events, void* self) {
    auto* client = static_cast<CrowdClient*>(self);
    if ((events & BEV_EVENT_CONNECTED) != 0) {
      client->sendNext();
    } else {
      client->closed_ = true;
    }
  };
  bufferevent_setcb(stream_.get(), on_read, on_written, on_event, this);
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
  const auto address = toSocketAddress(router);
  bufferevent_socket_connect(stream_.get(), const_cast<sockaddr*>(address->get()), static_cast<int>(address->length));
}

void CrowdClient::sendNext() {
  if (finished()) {
    return;
  }
  const std::string piece = pieces_();
  all_sent_ = piece.empty();
  bufferevent_write(stream_.get(), piece.data(), piece.size());
}

int CrowdClient::status() const {
  constexpr std::size_t kStatusStart = 9;
  return received_.size() > kStatusStart ? std::atoi(received_.c_str() + kStatusStart) : 0;
}

}  // namespace shedlever::test
