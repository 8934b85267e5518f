/// @file
/// Sets a fixed seed for the property tests of this program, unless RC_PARAMS is set.

#include <cstdlib>

namespace shedlever {
namespace {

[[maybe_unused]] const int kSeedSet = setenv("RC_PARAMS", "seed=20261202 max_success=500", /*overwrite=*/0);

}  // namespace
}  // namespace shedlever
