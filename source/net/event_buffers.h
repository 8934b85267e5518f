#pragma once

/// @file
/// Bytes into and out of libevent's buffers with as few copies as can be.

#include <string>

#include "source/net/event_handles.h"

namespace shedlever {

/// Appends the bytes; long ones are handed over without a copy.
void appendBytes(evbuffer* buffer, std::string bytes);

/// Takes the first `size` bytes out of the buffer, which has at least that many.
std::string takeBytes(evbuffer* buffer, std::size_t size);

/// Takes all bytes out of the buffer.
std::string takeAllBytes(evbuffer* buffer);

/// Writes what a connected stream's output holds now, without a turn of the loop; the loop writes what the kernel does
/// not take, and finds errors. Saves two changes of the event set and a wake-up for most writes.
void flushOutput(bufferevent* stream);

}  // namespace shedlever
