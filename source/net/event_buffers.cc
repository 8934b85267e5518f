#include "source/net/event_buffers.h"

#include <memory>
#include <utility>

namespace shedlever {

namespace {

/// Copying shorter strings is cheaper than a separate buffer segment.
constexpr std::size_t kMaxCopiedBytes = 2048;

}  // namespace

void appendBytes(evbuffer* buffer, std::string bytes) {
  if (bytes.size() <= kMaxCopiedBytes) {
    evbuffer_add(buffer, bytes.data(), bytes.size());
    return;
  }
  auto owned = std::make_unique<std::string>(std::move(bytes));
  const auto release = [](const void*, std::size_t, void* argument) { delete static_cast<std::string*>(argument); };
  if (evbuffer_add_reference(buffer, owned->data(), owned->size(), release, owned.get()) == 0) {
    // The buffer owns the string now and deletes it after writing.
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
    // A bufferevent keeps the front of its output buffer frozen except during its own writes.
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
