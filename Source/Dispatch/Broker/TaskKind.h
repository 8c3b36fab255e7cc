#pragma once

#include "Model/Identifiers.h"

#include <absl/time/time.h>

namespace trefoilwing::broker {

struct MinionPool;

/// The broker's state for one kind of task.
struct TaskKind {
    TaskKindId id;
    /// The minions that meet the kind's needs.
    MinionPool* pool = nullptr;
    /// Typical (geometric mean) run time at a minion of average speed: declared at first, then learned.
    absl::Duration runTime;
    /// Arithmetic mean run time at a minion of average speed. Unlike the geometric mean, it follows single long tasks.
    absl::Duration meanRunTime;
    /// Whether the kind's tasks are long, or not yet known to be short.
    bool isLong = true;
    /// Number of slots granted to its tasks and not yet reported as ended.
    uint32_t inUse = 0;
    /// Number of waiting tasks.
    uint32_t waiting = 0;
    /// Number of waiting tasks of jobs that have started.
    uint32_t startedWaiting = 0;
    /// Number of run times learned.
    uint64_t samples = 0;
    absl::Time learnedAt = absl::InfinitePast();
};

} // namespace trefoilwing::broker
