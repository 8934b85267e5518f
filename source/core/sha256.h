#pragma once

/// @file
/// SHA-256 by libcrypto.

#include <array>
#include <cstddef>
#include <string_view>

namespace shedlever {

inline constexpr std::size_t kSha256Size = 32;

using Sha256Digest = std::array<unsigned char, kSha256Size>;

/// @return the digest of the text.
Sha256Digest sha256(std::string_view text);

}  // namespace shedlever
