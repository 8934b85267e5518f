#include "source/core/router/quarantine/fingerprint.h"

#include <array>
#include <cstring>
#include <string_view>

#include "source/core/ascii_case.h"
#include "source/core/sha256.h"

namespace shedlever {

namespace {

std::string_view hostOf(const HttpRequest& request) {
  for (const HttpHeader& header : request.headers) {
    if (equalsIgnoringCase(header.name, "host")) {
      return header.value;
    }
  }
  return {};
}

/// Appends a length-prefixed part, so that different lists of parts give different texts.
void append(std::string& text, std::string_view part) {
  text += std::to_string(part.size());
  text += ':';
  text += part;
}

void appendDigestOf(std::string& text, const std::string& body) {
  const Sha256Digest digest = sha256(body);
  text.append(reinterpret_cast<const char*>(digest.data()), digest.size());
}

}  // namespace

RequestFingerprint fingerprintOf(const HttpRequest& request) {
  std::string text;
  append(text, request.method);
  append(text, hostOf(request));
  append(text, request.target);
  if (!request.body.empty()) {
    appendDigestOf(text, request.body);
  }
  const Sha256Digest digest = sha256(text);
  RequestFingerprint fingerprint;
  std::memcpy(&fingerprint.high, digest.data(), sizeof(fingerprint.high));
  std::memcpy(&fingerprint.low, digest.data() + sizeof(fingerprint.high), sizeof(fingerprint.low));
  return fingerprint;
}

std::string toString(const RequestFingerprint& fingerprint) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr int kBitsPerDigit = 4;
  constexpr int kBits = 64;
  std::string text;
  for (const std::uint64_t half : {fingerprint.high, fingerprint.low}) {
    for (int shift = kBits - kBitsPerDigit; shift >= 0; shift -= kBitsPerDigit) {
      text += kDigits[(half >> static_cast<unsigned>(shift)) % kDigits.size()];
    }
  }
  return text;
}

}  // namespace shedlever
