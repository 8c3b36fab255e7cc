#include "Base/StableHash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace trefoilwing {

uint64_t stableHash(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace trefoilwing
