/// @file
/// Tests that no two endpoints get the same port, within a deployment and between concurrent ones.

#include "soak/loopback_ports.h"

#include <gtest/gtest.h>

#include <set>

namespace shedlever::soak::test {
namespace {

TEST(LoopbackPortsTest, EachPortIsAllocatedAtMostOnce) {
  constexpr std::size_t kAllocations = 600;
  EventLoop loop;
  LoopbackPorts ports(loop, 1);
  std::set<std::uint16_t> allocated;
  for (std::size_t i = 0; i < kAllocations; ++i) {
    allocated.insert(ports.next().port);
  }
  EXPECT_EQ(allocated.size(), kAllocations);
}

// Guards against concurrent deployments with the same seed using the same ports.
TEST(LoopbackPortsTest, ConcurrentAllocatorsWithTheSameSeedUseDifferentPorts) {
  constexpr std::size_t kAllocations = 300;
  EventLoop loop;
  LoopbackPorts first(loop, 1);
  LoopbackPorts second(loop, 1);
  std::set<std::uint16_t> allocated;
  for (std::size_t i = 0; i < kAllocations; ++i) {
    allocated.insert(first.next().port);
    allocated.insert(second.next().port);
  }
  EXPECT_EQ(allocated.size(), 2 * kAllocations);
}

}  // namespace
}  // namespace shedlever::soak::test
