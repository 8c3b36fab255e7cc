#pragma once

#include "Base/StrongId.h"

#include <cstdint>

namespace trefoilwing {

/// A size in bytes.
using Bytes = StrongId<struct BytesTag, uint64_t>;

/// A number of slots of a minion. A slot runs one task at a time.
using SlotCount = StrongId<struct SlotCountTag, uint32_t>;

/// A number of tasks.
using TaskCount = StrongId<struct TaskCountTag, uint32_t>;

/// A hash of the content of a submission or a declaration.
using Digest = StrongId<struct DigestTag, uint64_t>;

} // namespace trefoilwing
