#pragma once

/// @file
/// A pair of cereal archives for short messages. Integers and lengths are encoded as variable-length integers (LEB128),
/// floating-point numbers as four or eight bytes in little-endian order. The input archive throws cereal::Exception for
/// malformed input.

#include <array>
#include <bit>
#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

#include "shedlever/wire_version.h"

namespace shedlever {

/// Appends the encoded values to a string.
class CompactOutputArchive : public cereal::OutputArchive<CompactOutputArchive, cereal::AllowEmptyClassElision> {
 public:
  /// @param version of the encoding, which decides on the fields that are written.
  explicit CompactOutputArchive(std::string& output, WireVersion version = kUnstatedWireVersion)
      : cereal::OutputArchive<CompactOutputArchive, cereal::AllowEmptyClassElision>(this),
        output_(output),
        version_(version) {}

  WireVersion version() const { return version_; }

  template <class T>
  void write(T value) {
    if constexpr (std::is_floating_point_v<T>) {
      writeFixed(value);
    } else if constexpr (std::is_signed_v<T>) {
      // ZigZag encoding: the sign is the lowest bit, so that small negative numbers stay short.
      const auto wide = static_cast<std::int64_t>(value);
      writeVariable((static_cast<std::uint64_t>(wide) << 1U) ^ static_cast<std::uint64_t>(wide >> 63U));
    } else {
      writeVariable(static_cast<std::uint64_t>(value));
    }
  }

  void writeBytes(const void* data, std::size_t size) { output_.append(static_cast<const char*>(data), size); }

 private:
  void writeVariable(std::uint64_t value) {
    constexpr std::uint64_t kContinuationBit = 0x80;
    while (value >= kContinuationBit) {
      output_.push_back(static_cast<char>(value | kContinuationBit));
      value >>= 7U;
    }
    output_.push_back(static_cast<char>(value));
  }

  template <class T>
  void writeFixed(T value) {
    static_assert(std::endian::native == std::endian::little);
    writeBytes(&value, sizeof(value));
  }

  std::string& output_;
  WireVersion version_;
};

/// Decodes values from bytes. The bytes must outlive the archive.
class CompactInputArchive : public cereal::InputArchive<CompactInputArchive, cereal::AllowEmptyClassElision> {
 public:
  /// @param version of the encoding.
  explicit CompactInputArchive(std::string_view input, WireVersion version = kUnstatedWireVersion)
      : cereal::InputArchive<CompactInputArchive, cereal::AllowEmptyClassElision>(this),
        input_(input),
        version_(version) {}

  WireVersion version() const { return version_; }

  template <class T>
  void read(T& value) {
    if constexpr (std::is_floating_point_v<T>) {
      readBytes(&value, sizeof(value));
    } else if constexpr (std::is_signed_v<T>) {
      const std::uint64_t zigzag = readVariable();
      const auto wide = static_cast<std::int64_t>((zigzag >> 1U) ^ (~(zigzag & 1U) + 1U));
      value = narrow<T>(wide);
    } else {
      value = narrow<T>(readVariable());
    }
  }

  /// Reads the number of elements of a container. An element takes at least one byte: rejecting a number larger than
  /// the remaining input prevents a malformed message from causing a large allocation.
  std::size_t readSize() {
    const std::uint64_t size = readVariable();
    if (size > input_.size()) {
      throw cereal::Exception("length exceeds the remaining message");
    }
    return size;
  }

  void readBytes(void* data, std::size_t size) {
    if (size > input_.size()) {
      throw cereal::Exception("message is truncated");
    }
    std::memcpy(data, input_.data(), size);
    input_.remove_prefix(size);
  }

  bool atEnd() const { return input_.empty(); }

 private:
  std::uint64_t readVariable() {
    constexpr unsigned kBitsPerByte = 7;
    constexpr unsigned kLastShift = 63;
    constexpr std::uint8_t kContinuationBit = 0x80;
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift <= kLastShift; shift += kBitsPerByte) {
      std::uint8_t byte = 0;
      readBytes(&byte, 1);
      const std::uint64_t bits = byte & (kContinuationBit - 1U);
      // Only the shortest encoding is valid: no bits beyond the 64th and no trailing zero byte.
      if ((shift == kLastShift && bits > 1) || (byte == 0 && shift > 0)) {
        break;
      }
      value |= bits << shift;
      if ((byte & kContinuationBit) == 0) {
        return value;
      }
    }
    throw cereal::Exception("invalid variable-length integer");
  }

  template <class T, class Wide>
  static T narrow(Wide wide) {
    const T value = static_cast<T>(wide);
    if (static_cast<Wide>(value) != wide) {
      throw cereal::Exception("integer out of range");
    }
    return value;
  }

  std::string_view input_;
  WireVersion version_;
};

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive& archive, const T& value) {
  archive.write(value);
}

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive& archive, T& value) {
  archive.read(value);
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive& archive, const cereal::SizeTag<T>& size) {
  archive.write(static_cast<std::uint64_t>(size.size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive& archive, cereal::SizeTag<T>& size) {
  size.size = archive.readSize();
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive& archive, const cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive& archive, cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive& archive, const cereal::BinaryData<T>& data) {
  archive.writeBytes(data.data, data.size);
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive& archive, cereal::BinaryData<T>& data) {
  archive.readBytes(data.data, data.size);
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive& archive, const SinceWireVersion<T>& field) {
  if (archive.version() >= field.first) {
    archive(field.value);
  }
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive& archive, SinceWireVersion<T>& field) {
  const bool is_absent = archive.version() >= kExtensibleWireVersion && archive.atEnd();
  if (archive.version() >= field.first && !is_absent) {
    archive(field.value);
  }
}

}  // namespace shedlever

CEREAL_REGISTER_ARCHIVE(shedlever::CompactOutputArchive)
CEREAL_REGISTER_ARCHIVE(shedlever::CompactInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(shedlever::CompactInputArchive, shedlever::CompactOutputArchive)
