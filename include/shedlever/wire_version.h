#pragma once

/// @file
/// Versions of the encoding of frames between router processes, and fields that later versions added.

#include <cstdint>

namespace shedlever {

/// Up to 6, both ends must know exactly the same frames. From 7 on, a receiver skips what it does not know: fields at
/// the end of a frame, kinds of frames, and enumeration values. So 7 stays valid when frames grow.
using WireVersion = std::uint8_t;

inline constexpr WireVersion kOldestWireVersion = 5;
/// Owner tables are sent as differences.
inline constexpr WireVersion kTableDeltaWireVersion = 6;
inline constexpr WireVersion kExtensibleWireVersion = 7;
/// Requests may be sent in parts, requests and replies state when they were sent, changes of owner tables may be sent
/// to another process that writes them, and one process may plan the moves of keys for all owners of a service.
inline constexpr WireVersion kRequestPartsWireVersion = 8;
inline constexpr WireVersion kNewestWireVersion = kRequestPartsWireVersion;
/// Spoken by processes whose node record states no version, unless they are still older.
inline constexpr WireVersion kUnstatedWireVersion = 6;

/// A field at the end of a frame that a version added. It is left out towards earlier versions and then has its default
/// value at the receiver, as it has if the sender does not know the field.
template <class T>
struct SinceWireVersion {
  WireVersion first;
  T& value;
};

template <class T>
SinceWireVersion<T> sinceWireVersion(WireVersion first, T& value) {
  return {first, value};
}

}  // namespace shedlever
