#include "source/core/router/routes/request_id_generator.h"

#include <array>
#include <charconv>
#include <string_view>

namespace shedlever {

namespace {

constexpr int kBase = 16;
constexpr std::string_view kDigits = "0123456789abcdef";
constexpr std::size_t kMaxSequenceDigits = 16;
constexpr char kEscape = '~';
constexpr char kSeparator = '-';

void appendHex(std::string& text, std::uint64_t number) {
  std::array<char, kMaxSequenceDigits> digits{};
  const std::to_chars_result end = std::to_chars(digits.data(), digits.data() + digits.size(), number, kBase);
  text.append(digits.data(), end.ptr);
}

bool isUnescaped(char letter) {
  const bool is_letter = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z');
  const bool is_digit = letter >= '0' && letter <= '9';
  return is_letter || is_digit || letter == kSeparator || letter == '.' || letter == '_';
}

}  // namespace

RequestIdGenerator::RequestIdGenerator(const NodeIdentity& self) {
  for (const char letter : self.name.value) {
    if (isUnescaped(letter)) {
      prefix_.push_back(letter);
      continue;
    }
    // Other characters are escaped, not dropped, so that different names stay different.
    prefix_.push_back(kEscape);
    appendHex(prefix_, static_cast<unsigned char>(letter));
    prefix_.push_back(kEscape);
  }
  prefix_.push_back(kSeparator);
  appendHex(prefix_, self.incarnation.value);
  prefix_.push_back(kSeparator);
}

RequestId RequestIdGenerator::idOf(RequestSequence sequence) const {
  std::string text;
  text.reserve(prefix_.size() + kMaxSequenceDigits);
  text = prefix_;
  appendHex(text, sequence);
  return RequestId(std::move(text));
}

std::optional<RequestSequence> RequestIdGenerator::sequenceOf(const RequestId& id) const {
  const std::string_view text = id.value;
  if (!text.starts_with(prefix_)) {
    return std::nullopt;
  }
  const std::string_view digits = text.substr(prefix_.size());
  // Only the canonical spelling is accepted: no leading zeros and no capital digits.
  if (digits.starts_with('0') || digits.find_first_not_of(kDigits) != std::string_view::npos) {
    return std::nullopt;
  }
  RequestSequence sequence = 0;
  const std::from_chars_result parsed = std::from_chars(digits.data(), digits.data() + digits.size(), sequence, kBase);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return sequence;
}

}  // namespace shedlever
