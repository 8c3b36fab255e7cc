#pragma once

#include <cstdint>
#include <string_view>

namespace trefoilwing {

/// @return a hash (XXH3, 64 bits) that is the same in every process and every version.
uint64_t stableHash(std::string_view);

} // namespace trefoilwing
