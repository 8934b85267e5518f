#include "source/net/router_codec.h"

#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <exception>

#include "source/net/compact_archive.h"

namespace shedlever {

namespace {

/// @param fallback for a value that only later builds know.
template <class Enum>
Enum checkedEnum(const CompactInputArchive& archive, std::uint8_t number, Enum last, Enum fallback) {
  if (number <= static_cast<std::uint8_t>(last)) {
    return static_cast<Enum>(number);
  }
  if (archive.version() < kExtensibleWireVersion) {
    throw cereal::Exception("unknown enumeration value");
  }
  return fallback;
}

/// @return whether the frame is of a kind that only later builds know. All kinds before `UnknownFrame` are known.
bool isOfUnknownKind(std::string_view bytes, WireVersion version) {
  std::int32_t kind = 0;
  CompactInputArchive archive(bytes, version);
  archive(kind);
  return version >= kExtensibleWireVersion && kind >= static_cast<std::int32_t>(std::variant_size_v<RouterFrame>) - 1;
}

/// Room for what a request's frame holds besides its body.
constexpr std::size_t kOtherFrameBytes = 4U << 10U;

}  // namespace

void CEREAL_LOAD_MINIMAL_FUNCTION_NAME(const CompactInputArchive& archive, RouteKind& value,
                                       const std::uint8_t& number) {
  value = checkedEnum(archive, number, RouteKind::Download, RouteKind::AtMostOnce);
}

void CEREAL_LOAD_MINIMAL_FUNCTION_NAME(const CompactInputArchive& archive, ForwardOutcome& value,
                                       const std::uint8_t& number) {
  value = checkedEnum(archive, number, ForwardOutcome::Unknown, ForwardOutcome::Unknown);
}

void CEREAL_LOAD_MINIMAL_FUNCTION_NAME(const CompactInputArchive& archive, ForwardReason& value,
                                       const std::uint8_t& number) {
  value = checkedEnum(archive, number, kLastForwardReason, ForwardReason::Unrecognized);
}

void CEREAL_LOAD_MINIMAL_FUNCTION_NAME(const CompactInputArchive& archive, ExchangeState& value,
                                       const std::uint8_t& number) {
  value = checkedEnum(archive, number, ExchangeState::Answered, ExchangeState::Answered);
}

std::optional<WireVersion> versionOfPreface(std::uint32_t preface) {
  for (WireVersion version = kOldestWireVersion; version <= kNewestWireVersion; ++version) {
    if (preface == prefaceOf(version)) {
      return version;
    }
  }
  return std::nullopt;
}

void CEREAL_LOAD_MINIMAL_FUNCTION_NAME(const CompactInputArchive&, TableEditKind& value, const std::uint8_t& number) {
  // An edit of a kind that only later builds know must not be taken for another one.
  if (number > static_cast<std::uint8_t>(TableEditKind::AbortRelease)) {
    throw cereal::Exception("unknown kind of table edit");
  }
  value = static_cast<TableEditKind>(number);
}

bool isKnownIn(const RouterFrame& frame, WireVersion version) {
  if (std::holds_alternative<ForwardPartFrame>(frame) || std::holds_alternative<TableEditsFrame>(frame) ||
      std::holds_alternative<TableEditsReplyFrame>(frame) || std::holds_alternative<PlacementPlanFrame>(frame)) {
    return version >= kRequestPartsWireVersion;
  }
  if (std::holds_alternative<QuotaRequestFrame>(frame) || std::holds_alternative<QuotaGrantFrame>(frame)) {
    return version >= kExtensibleWireVersion;
  }
  return !std::holds_alternative<OwnerTableDeltaFrame>(frame) || version >= kTableDeltaWireVersion;
}

std::string encodeRouterFrame(const RouterFrame& frame, WireVersion version) {
  std::string bytes;
  // Growing would copy a large body several times.
  if (const auto* forward = std::get_if<ForwardFrame>(&frame)) {
    bytes.reserve(forward->http.body.size() + kOtherFrameBytes);
  }
  CompactOutputArchive archive(bytes, version);
  archive(frame);
  return bytes;
}

leaf::result<RouterFrame> decodeRouterFrame(std::string_view bytes, WireVersion version) {
  try {
    if (isOfUnknownKind(bytes, version)) {
      return RouterFrame(UnknownFrame{});
    }
    RouterFrame frame;
    CompactInputArchive archive(bytes, version);
    archive(frame);
    if (std::holds_alternative<UnknownFrame>(frame) || !isKnownIn(frame, version)) {
      return leaf::new_error(DecodeError{"unknown kind of frame"});
    }
    if (!archive.atEnd() && version < kExtensibleWireVersion) {
      return leaf::new_error(DecodeError{"unexpected bytes after the frame"});
    }
    return frame;
  } catch (const std::exception& error) {
    return leaf::new_error(DecodeError{error.what()});
  }
}

}  // namespace shedlever
