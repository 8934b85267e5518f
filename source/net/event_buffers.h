#pragma once

/// @file
/// Moves bytes into and out of libevent buffers with few copies.

#include <string>

#include "source/net/event_handles.h"

namespace shedlever {

/// Appends the bytes. Long strings are moved into the buffer without a copy.
void appendBytes(evbuffer* buffer, std::string bytes);

/// Removes the first `size` bytes from the buffer, which must contain at least that many.
std::string takeBytes(evbuffer* buffer, std::size_t size);

/// Removes all bytes from the buffer.
std::string takeAllBytes(evbuffer* buffer);

/// Writes the output buffer of a connected stream immediately instead of in the next iteration of the event loop. The
/// loop writes the bytes that the kernel did not accept, and detects errors. For most writes this saves two changes of
/// the event set and one wake-up.
void flushOutput(bufferevent* stream);

}  // namespace shedlever
