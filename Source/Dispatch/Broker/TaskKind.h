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
    /// The mean run time at a minion of average speed. The one above is the geometric mean, which one long task moves less.
    absl::Duration meanRunTime;
    /// Whether its tasks are long, or not known to be short.
    bool isLong = true;
    /// Slots granted to its tasks and not yet reported as ended.
    uint32_t inUse = 0;
    /// Waiting tasks.
    uint32_t waiting = 0;
    /// Waiting tasks of the jobs that have started.
    uint32_t startedWaiting = 0;
    /// How many run times have been learned.
    uint64_t samples = 0;
    absl::Time learnedAt = absl::InfinitePast();
};

} // namespace trefoilwing::broker
