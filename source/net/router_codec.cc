#include "source/net/router_codec.h"

#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <exception>

#include "source/net/compact_archive.h"

namespace shedlever {

namespace {

template <class Enum>
Enum checkedEnum(std::uint8_t number, Enum last) {
  if (number > static_cast<std::uint8_t>(last)) {
    throw cereal::Exception("unknown enumeration value");
  }
  return static_cast<Enum>(number);
}

}  // namespace

void CEREAL_LOAD_MINIMAL_FUNCTION_NAME(const CompactInputArchive&, RouteKind& value, const std::uint8_t& number) {
  value = checkedEnum(number, RouteKind::Download);
}

void CEREAL_LOAD_MINIMAL_FUNCTION_NAME(const CompactInputArchive&, ForwardOutcome& value, const std::uint8_t& number) {
  value = checkedEnum(number, ForwardOutcome::Unknown);
}

void CEREAL_LOAD_MINIMAL_FUNCTION_NAME(const CompactInputArchive&, ForwardReason& value, const std::uint8_t& number) {
  value = checkedEnum(number, kLastForwardReason);
}

void CEREAL_LOAD_MINIMAL_FUNCTION_NAME(const CompactInputArchive&, ExchangeState& value, const std::uint8_t& number) {
  value = checkedEnum(number, ExchangeState::Answered);
}

std::string encodeRouterFrame(const RouterFrame& frame) {
  std::string bytes;
  CompactOutputArchive archive(bytes);
  archive(frame);
  return bytes;
}

leaf::result<RouterFrame> decodeRouterFrame(std::string_view bytes) {
  try {
    RouterFrame frame;
    CompactInputArchive archive(bytes);
    archive(frame);
    if (!archive.atEnd()) {
      return leaf::new_error(DecodeError{"unexpected bytes after the frame"});
    }
    return frame;
  } catch (const std::exception& error) {
    return leaf::new_error(DecodeError{error.what()});
  }
}

}  // namespace shedlever
