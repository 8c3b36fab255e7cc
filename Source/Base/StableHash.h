#pragma once

#include <cstdint>
#include <string_view>

namespace trefoilwing {

/// @return a 64-bit hash (XXH3) that is the same in every process and in every version of the program.
uint64_t stableHash(std::string_view);

} // namespace trefoilwing
