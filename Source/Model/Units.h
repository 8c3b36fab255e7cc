#pragma once

#include "Base/StrongId.h"

#include <cstdint>

namespace trefoilwing {

/// A size in bytes.
using Bytes = StrongId<struct BytesTag, uint64_t>;

/// A number of task slots of a minion.
using SlotCount = StrongId<struct SlotCountTag, uint32_t>;

/// A number of tasks.
using TaskCount = StrongId<struct TaskCountTag, uint32_t>;

/// A digest of a submission's or a declaration's content.
using Digest = StrongId<struct DigestTag, uint64_t>;

} // namespace trefoilwing
