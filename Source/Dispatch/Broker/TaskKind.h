#pragma once

#include "Model/Identifiers.h"

#include <absl/time/time.h>

namespace trefoilwing::broker {

struct MinionPool;

/// What the broker knows of one kind of task.
struct TaskKind {
    TaskKindId id;
    /// The minions that offer what the kind needs.
    MinionPool* pool = nullptr;
    /// The run time at a minion of average speed: declared at first, then learned.
    absl::Duration runTime;
    /// How many run times have been learned.
    uint64_t samples = 0;
};

} // namespace trefoilwing::broker
