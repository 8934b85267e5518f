#pragma once

/// @file
/// Limits the memory that the bodies of requests and responses take together in this process.

#include <cstddef>
#include <limits>
#include <utility>

namespace shedlever {

/// Bodies up to this size are not charged, so that ordinary requests are served beside a crowd of large ones. Their
/// number is limited by that of the process's descriptors.
inline constexpr std::size_t kUnchargedBodyBytes = 16U << 10U;

class MemoryBudget {
 public:
  /// @param capacity in bytes.
  explicit MemoryBudget(std::size_t capacity = std::numeric_limits<std::size_t>::max()) : capacity_(capacity) {}

  std::size_t capacity() const { return capacity_; }
  std::size_t used() const { return used_; }
  bool exceeded() const { return used_ > capacity_; }
  /// @return whether so many more bytes leave the budget unexceeded.
  bool hasRoomFor(std::size_t bytes) const { return used_ <= capacity_ && bytes <= capacity_ - used_; }

 private:
  friend class MemoryCharge;

  std::size_t capacity_;
  std::size_t used_ = 0;
};

/// A part of a budget that is in use, until the charge is destroyed.
class MemoryCharge {
 public:
  /// Charges nothing, ever.
  MemoryCharge() = default;
  /// @param budget outlives the charge.
  explicit MemoryCharge(MemoryBudget& budget) : budget_(&budget) {}
  ~MemoryCharge() { setBody(0, 1); }
  MemoryCharge(MemoryCharge&& other) noexcept
      : budget_(std::exchange(other.budget_, nullptr)), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryCharge& operator=(MemoryCharge&& other) noexcept {
    std::swap(budget_, other.budget_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }

  /// Charges for a body in place of what was charged before.
  /// @param copies that the process holds of the body at once.
  void setBody(std::size_t body_bytes, std::size_t copies) {
    if (budget_ == nullptr) {
      return;
    }
    const std::size_t charged = costOf(body_bytes, copies);
    budget_->used_ = budget_->used_ - bytes_ + charged;
    bytes_ = charged;
  }

  /// @return what a body is charged, in bytes.
  static std::size_t costOf(std::size_t body_bytes, std::size_t copies) {
    return body_bytes <= kUnchargedBodyBytes ? 0 : body_bytes * copies;
  }

  std::size_t bytes() const { return bytes_; }

 private:
  MemoryBudget* budget_ = nullptr;
  std::size_t bytes_ = 0;
};

}  // namespace shedlever
