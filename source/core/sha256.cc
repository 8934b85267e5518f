#include "source/core/sha256.h"

#include <openssl/sha.h>

namespace shedlever {

Sha256Digest sha256(std::string_view text) {
  Sha256Digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
  return digest;
}

}  // namespace shedlever
