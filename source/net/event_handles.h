#pragma once

/// @file
/// Owning handles for libevent objects.

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <memory>

namespace shedlever {

/// Frees each libevent object with the function for its type.
struct EventDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
  void operator()(event* event) const { event_free(event); }
  void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
  void operator()(bufferevent* stream) const { bufferevent_free(stream); }
  void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
  void operator()(evhttp* server) const { evhttp_free(server); }
};

using EventBaseHandle = std::unique_ptr<event_base, EventDeleter>;
using EventHandle = std::unique_ptr<event, EventDeleter>;
using EventBuffer = std::unique_ptr<evbuffer, EventDeleter>;
using BufferEventHandle = std::unique_ptr<bufferevent, EventDeleter>;
using ListenerHandle = std::unique_ptr<evconnlistener, EventDeleter>;
using EvhttpHandle = std::unique_ptr<evhttp, EventDeleter>;

}  // namespace shedlever
