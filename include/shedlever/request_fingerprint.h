#pragma once

/// @file
/// Fingerprints that identify repetitions of the same request.

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace shedlever {

/// 128 bits of a SHA-256 digest, so that a caller can't construct a request that collides with another caller's.
struct RequestFingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const RequestFingerprint&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(high, low);
  }
};

/// @return 32 hexadecimal digits.
std::string toString(const RequestFingerprint& fingerprint);

}  // namespace shedlever

template <>
struct std::hash<shedlever::RequestFingerprint> {
  std::size_t operator()(const shedlever::RequestFingerprint& fingerprint) const noexcept { return fingerprint.low; }
};
