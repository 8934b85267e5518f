#include "source/net/event_buffers.h"

#include <memory>
#include <utility>

namespace shedlever {

namespace {

/// Up to here copying is cheaper than a buffer segment of its own.
constexpr std::size_t kCopyLimit = 2048;

}  // namespace

void appendBytes(evbuffer* buffer, std::string bytes) {
  if (bytes.size() <= kCopyLimit) {
    evbuffer_add(buffer, bytes.data(), bytes.size());
    return;
  }
  auto owned = std::make_unique<std::string>(std::move(bytes));
  const auto release = [](const void*, std::size_t, void* argument) { delete static_cast<std::string*>(argument); };
  if (evbuffer_add_reference(buffer, owned->data(), owned->size(), release, owned.get()) == 0) {
    // The buffer owns it now and deletes it once written.
    static_cast<void>(owned.release());
  }
}

std::string takeBytes(evbuffer* buffer, std::size_t size) {
  std::string bytes(size, '\0');
  evbuffer_remove(buffer, bytes.data(), size);
  return bytes;
}

std::string takeAllBytes(evbuffer* buffer) { return takeBytes(buffer, evbuffer_get_length(buffer)); }

void flushOutput(bufferevent* stream) {
  evbuffer* output = bufferevent_get_output(stream);
  if (evbuffer_get_length(output) > 0) {
    // A bufferevent keeps the front of its output frozen but while it writes itself.
    evbuffer_unfreeze(output, 1);
    evbuffer_write(output, bufferevent_getfd(stream));
    evbuffer_freeze(output, 1);
  }
  if (evbuffer_get_length(output) > 0) {
    bufferevent_enable(stream, EV_WRITE);
  } else {
    bufferevent_disable(stream, EV_WRITE);
  }
}

}  // namespace shedlever
