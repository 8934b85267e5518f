#pragma once

/// @file
/// SHA-256, implemented by libcrypto.

#include <array>
#include <cstddef>
#include <string_view>

namespace shedlever {

inline constexpr std::size_t kSha256Size = 32;

using Sha256Digest = std::array<unsigned char, kSha256Size>;

Sha256Digest sha256(std::string_view text);

}  // namespace shedlever
