#pragma once

/// @file
/// What makes two requests the same one asked again.

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace shedlever {

/// 128 bits of a SHA-256 digest: nobody can make a request that is taken for another caller's.
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
